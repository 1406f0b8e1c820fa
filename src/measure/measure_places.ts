import {LogFields} from '../log/index.js';
import {bursts, flood, PlaceLoad, usualRate} from './place_load.js';

const LOADS = {usual: usualRate, bursts, flood} as const;
const DIGITS = 3;

/**
 * Measures what callers of three ranks and six customers get of scarce places, where places
 * are shared by rank and customer and where the predicted wait alone decides.
 * @param seeds - Seeds of the runs; the figures are means over them.
 */
export function measurePlaces(seeds: readonly number[]): LogFields[] {
  const lines: LogFields[] = [];
  for (const [name, rate] of Object.entries(LOADS)) {
    for (const sharesPlaces of [true, false]) {
      const loads = seeds.map(seed => new PlaceLoad(seed, sharesPlaces));
      for (const load of loads) {
        load.run(rate);
      }
      const mean = (pick: (load: PlaceLoad) => number) =>
        (
          loads.reduce((sum, load) => sum + pick(load), 0) / loads.length
        ).toFixed(DIGITS);
      lines.push({
        experiment: `places-${name}`,
        policy: sharesPlaces ? 'sedgefall' : 'wait-alone',
        seeds: seeds.length,
        chats_refused: mean(load => load.getRefused(0)),
        chats_in_time: mean(load => load.getInTime(0)),
        summaries_in_time: mean(load => load.getInTime(1)),
        tags_in_time: mean(load => load.getInTime(2)),
        others_chats_in_time: mean(load => load.getOthersInTime(0)),
        others_in_time: mean(load => load.getOthersInTime()),
      });
    }
  }
  return lines;
}
