import {expect} from 'chai';
import {Service} from '../../src/catalog/index.js';
import {NeedMeter} from '../../src/provisioning/need_meter.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE: Service = {name: 'desk', maxConnections: 24};
const WORK = {prefillPerSecond: 560_000, running: 0, limited: 0};

describe('NeedMeter', () => {
  // Servers that compute half as fast as assumed would be ordered too late.
  it('requires servers by the learned rate of the service, if there is one', () => {
    const clock = new VirtualClock();
    const learned = new NeedMeter(clock, () => 50_000);
    const assumed = new NeedMeter(clock);
    expect(learned.getNeed(SERVICE, WORK, 0).needed).to.be.closeTo(40, 0.1);
    expect(assumed.getNeed(SERVICE, WORK, 0).needed).to.be.closeTo(20, 0.1);
  });
});
