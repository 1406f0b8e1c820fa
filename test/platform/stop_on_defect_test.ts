import {EventEmitter} from 'node:events';
import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {stopOnDefect} from '../../platform/stop_on_defect.js';

describe('stopOnDefect', () => {
  // Guards against an error in one callback that ends the process with all requests in flight.
  it('begins one planned stop, however many errors follow', () => {
    const process = new EventEmitter();
    let stops = 0;
    stopOnDefect(process, new SilentLog(), () => stops++);
    process.emit('uncaughtException', new Error('first'), 'uncaughtException');
    process.emit('uncaughtException', 'no error', 'unhandledRejection');
    expect(stops).to.equal(1);
  });
});
