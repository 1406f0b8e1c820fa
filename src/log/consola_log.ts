import {ConsolaInstance, createConsola} from 'consola';
import {Clock} from '../time/index.js';
import {formatLine} from './format_line.js';
import {Log, LogMembers} from './log.js';

const writeStandardError = (line: string): void => {
  process.stderr.write(line);
};

/** Log by consola: on standard error, or wherever lines are to go. */
export class ConsolaLog implements Log {
  private readonly consola: ConsolaInstance;

  /**
   * @param clock - Gives the time of each line.
   * @param common - Members that stand on every line, such as the host.
   * @param writeLine - Takes a line with its end.
   */
  constructor(
    private readonly clock: Clock,
    private readonly common: LogMembers,
    writeLine: (line: string) => void = writeStandardError,
  ) {
    this.consola = createConsola({
      // Each line counts, and to compare it with the last costs more than to write it.
      throttle: 0,
      reporters: [
        {
          log: entry => {
            writeLine(`${String(entry.args[0])}\n`);
          },
        },
      ],
    });
  }

  info(event: string, members: LogMembers = {}): void {
    this.consola.info(this.format('info', event, members));
  }

  warn(event: string, members: LogMembers = {}): void {
    this.consola.warn(this.format('warn', event, members));
  }

  error(event: string, members: LogMembers = {}): void {
    this.consola.error(this.format('error', event, members));
  }

  private format(level: string, event: string, members: LogMembers): string {
    const time = this.clock.now().toISOString();
    return formatLine({time, level, event, ...this.common, ...members});
  }
}
