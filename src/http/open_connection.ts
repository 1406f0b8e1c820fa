import {Socket} from 'node:net';

/** Opens a TCP connection; returns a socket that is still connecting. */
export type OpenConnection = (target: {
  readonly host: string;
  readonly port: number;
}) => Socket;
