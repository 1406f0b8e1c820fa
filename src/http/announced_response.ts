import {ServerResponse} from 'node:http';

/** A response whose head can still be changed at the moment at which it is written. */
export class AnnouncedResponse extends ServerResponse {
  /** Called before the head is written. */
  beforeHead: () => void = () => undefined;

  override writeHead(...args: unknown[]): this {
    this.beforeHead();
    Reflect.apply(super.writeHead, this, args);
    return this;
  }
}
