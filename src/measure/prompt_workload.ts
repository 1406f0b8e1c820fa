import {PromptPart} from '../fleet/index.js';
import {Random} from '../random/index.js';

/** One kind of prompt, from the users' deployment descriptions. */
export interface PromptKind {
  readonly name: string;
  /** Rate of requests per second. */
  readonly perSecond: number;
  /** Target for the time to the first token, in milliseconds. */
  readonly targetMs: number;
  /** Number of different first parts, such as instructions, and tokens of each. */
  readonly openings: number;
  readonly openingTokens: number;
  /** Number of different subjects that requests share, and their mean tokens. */
  readonly subjects: number;
  readonly subjectTokens: number;
  /** Mean tokens of the part that a request shares with no other. */
  readonly ownTokens: number;
  readonly answerTokens: number;
}

/** A randomly drawn prompt, ready to be sent. */
export interface DrawnPrompt {
  readonly kind: PromptKind;
  readonly parts: readonly PromptPart[];
}

/**
 * The three kinds of prompts of both deployments. Rates, targets and numbers of
 * shared and own tokens are from the users' deployment descriptions, at 70% of
 * their traffic. The numbers of openings and subjects were observed in one
 * simulated run of 64 s without faults.
 */
export const PROMPT_KINDS: readonly PromptKind[] = [
  {
    name: 'dossier',
    perSecond: 12.3,
    targetMs: 800,
    openings: 1,
    openingTokens: 528,
    subjects: 224,
    subjectTokens: 4616,
    ownTokens: 5900,
    answerTokens: 384,
  },
  {
    name: 'blurb',
    perSecond: 25.9,
    targetMs: 300,
    openings: 8,
    openingTokens: 114,
    subjects: 236,
    subjectTokens: 79,
    ownTokens: 640,
    answerTokens: 294,
  },
  {
    name: 'check',
    perSecond: 20.7,
    targetMs: 400,
    openings: 31,
    openingTokens: 383,
    subjects: 187,
    subjectTokens: 206,
    ownTokens: 1610,
    answerTokens: 24,
  },
];

/** Smallest and largest size of a prompt part, relative to its mean. */
const MIN_SIZE = 0.3;
const MAX_SIZE = 3;

/** Draws random prompts; the sequence depends only on the random source. */
export class PromptWorkload {
  private drawn = 0;

  constructor(
    private readonly random: Random,
    /** Factor by which the rates of `PROMPT_KINDS` are multiplied. */
    private readonly factor: number,
  ) {}

  /** Returns the total rate of all kinds, in requests per second. */
  getRatePerSecond(): number {
    const sum = PROMPT_KINDS.reduce((all, kind) => all + kind.perSecond, 0);
    return sum * this.factor;
  }

  /** Draws the next prompt. */
  draw(): DrawnPrompt {
    const kind = this.drawKind();
    const opening = this.drawRank(kind.openings);
    const subject = this.drawRank(kind.subjects);
    // A subject has the same size in every request.
    const size = MIN_SIZE + (subject % 10) * ((2 * (1 - MIN_SIZE)) / 9);
    const {name} = kind;
    return {
      kind,
      parts: [
        {id: `${name}/${opening}`, tokens: kind.openingTokens},
        {
          id: `${name}/${opening}/${subject}`,
          tokens: Math.round(kind.subjectTokens * size),
        },
        {id: `own-${this.drawn++}`, tokens: this.drawSize(kind.ownTokens)},
      ],
    };
  }

  private drawKind(): PromptKind {
    const all = PROMPT_KINDS.reduce((sum, kind) => sum + kind.perSecond, 0);
    let left = this.random.next() * all;
    for (const kind of PROMPT_KINDS) {
      left -= kind.perSecond;
      if (left <= 0) {
        return kind;
      }
    }
    return PROMPT_KINDS[0] as PromptKind;
  }

  /** Draws a rank below `count`; lower ranks are more frequent (power law). */
  private drawRank(count: number): number {
    return Math.floor(count ** this.random.next()) - 1;
  }

  private drawSize(mean: number): number {
    const size = -Math.log(1 - this.random.next());
    return Math.round(mean * Math.min(MAX_SIZE, Math.max(MIN_SIZE, size)));
  }
}
