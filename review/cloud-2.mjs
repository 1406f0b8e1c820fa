// The platform's API for duties: records each call as it arrives.
import {createServer} from 'node:http';
import {listen, stopServer} from './net-2.mjs';

export class Cloud {
  constructor(onCall = () => undefined) {
    this.calls = [];
    this.server = createServer(async (request, response) => {
      const pieces = [];
      for await (const piece of request) {
        pieces.push(piece);
      }
      const call = {
        atMs: performance.now(),
        path: request.url,
        holder: request.headers['duty-holder'],
        fence: Number(request.headers['fencing-token']),
        body: JSON.parse(Buffer.concat(pieces)),
      };
      this.calls.push(call);
      onCall(call);
      response.writeHead(200, {Connection: 'close'});
      response.end('{}');
    });
  }

  async start() {
    this.address = await listen(this.server);
  }

  stop() {
    stopServer(this.server);
  }
}
