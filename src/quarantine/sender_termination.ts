const SEPARATOR = '~';
/** Longest name of a termination that hosts accept from each other. */
const MAX_LENGTH = 200;

/** A termination as it counts against a sender. */
export interface SenderTermination {
  /** Name of the content that the server ran. */
  readonly content: string;
  /** Name of the termination; see `nameTermination`. */
  readonly termination: string;
}

/** Returns the name of a termination as it counts against a sender. */
export function nameSenderTermination({
  content,
  termination,
}: SenderTermination): string {
  return `${content}${SEPARATOR}${termination}`.slice(0, MAX_LENGTH);
}

/** Returns content and termination; those of the previous release name the content only. */
export function getTerminationOfSender(name: string): SenderTermination {
  const at = name.indexOf(SEPARATOR);
  return at < 0
    ? {content: name, termination: ''}
    : {content: name.slice(0, at), termination: name.slice(at + 1)};
}
