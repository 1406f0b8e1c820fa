import {ConsolaInstance, createConsola} from 'consola';
import {Clock} from '../time/index.js';
import {formatLine} from './format_line.js';
import {Log, LogFields} from './log.js';

const writeStandardError = (line: string): void => {
  process.stderr.write(line);
};

/** Log that writes through consola, to standard error by default. */
export class ConsolaLog implements Log {
  private readonly consola: ConsolaInstance;

  /**
   * @param clock - Provides the timestamps.
   * @param common - Fields added to every line, such as the host.
   * @param writeLine - Writes a line, which includes its line break.
   */
  constructor(
    private readonly clock: Clock,
    private readonly common: LogFields,
    writeLine: (line: string) => void = writeStandardError,
  ) {
    this.consola = createConsola({
      // With throttling, consola compares each line with the previous one to suppress
      // repeats. No line may be suppressed, and comparing costs more than writing.
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

  info(event: string, members: LogFields = {}): void {
    this.consola.info(this.format('info', event, members));
  }

  warn(event: string, members: LogFields = {}): void {
    this.consola.warn(this.format('warn', event, members));
  }

  error(event: string, members: LogFields = {}): void {
    this.consola.error(this.format('error', event, members));
  }

  private format(level: string, event: string, members: LogFields): string {
    const time = this.clock.now().toISOString();
    return formatLine({time, level, event, ...this.common, ...members});
  }
}
