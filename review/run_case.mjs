// Runs a case: plays it, judges it, ends what was started and writes the record.

/** Exit codes of a case; `run.sh` maps them. */
const BROKEN = 10;
const HELD = 0;
const NOT_RUN = 2;
const LIMIT_MS = 100_000;

/**
 * @param system - The deployment.
 * @param servers - Stand-ins that are stopped at the end.
 * @param play - Plays the case.
 * @param judge - Returns the lines of the summary, whether the rule is broken, and whether enough
 *   was served for the result to count.
 */
export async function runCase({system, servers, play, judge}) {
  const watchdog = setTimeout(() => {
    console.log('not finished in time');
    killAll(system);
    process.exit(NOT_RUN);
  }, LIMIT_MS);
  for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(name, () => {
      killAll(system);
      process.exit(NOT_RUN);
    });
  }
  process.on('exit', () => killAll(system));
  let code = NOT_RUN;
  let summary = ['the case could not run'];
  try {
    await play();
    const {lines, isBroken, isServed} = judge();
    summary = lines;
    code = isBroken ? BROKEN : isServed ? HELD : NOT_RUN;
  } catch (error) {
    summary.push(String(error.stack));
  } finally {
    for (const server of servers) {
      server.stop();
    }
  }
  const result = {[BROKEN]: 'rule broken', [HELD]: 'rule held'}[code];
  summary.push(`result: ${result ?? 'the case could not run'}`);
  await system.end(summary);
  clearTimeout(watchdog);
  console.log(summary.join('\n'));
  process.exit(code);
}

function killAll({hosts}) {
  for (const host of hosts) {
    host.expectsExit = true;
    host.signal('SIGKILL');
  }
}
