import {LogLine} from './log_line.js';

/** All lines that one host logged about one request, in log order. */
export interface RequestHistory {
  readonly id: string;
  readonly host: string;
  readonly lines: readonly LogLine[];
}
