// Starts the daemon as the deploy file does, one process a host.
import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {findPorts, waitFor} from './net.mjs';

/** Words of the command under [roles.entry] of the deploy file. */
function readCommand() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const run = /\[roles\.entry\][^[]*?\nrun = "([^"]+)"/.exec(text)?.[1];
  if (run === undefined) {
    throw new Error('deploy/system.toml has no command for the role entry');
  }
  return run.split(' ');
}

export class Host {
  exits = [];
  expectsExit = false;
  output = '';

  constructor(name, zone, system) {
    Object.assign(this, {name, zone, system});
  }

  async prepare() {
    const ports = await findPorts(5);
    const [front, ready, control, first, last] = ports.map(
      port => `127.0.0.1:${port}`,
    );
    Object.assign(this, {front, ready, control, first, last, ports});
  }

  /** Starts the process. */
  start(bootstrap) {
    const path = join(this.system.folder, `${this.name}.toml`);
    writeFileSync(path, this.formatSettings(bootstrap));
    const [program, ...words] = readCommand();
    this.startedMs = performance.now();
    const child = spawn(program, words, {
      env: {PATH: process.env.PATH, SEDGEFALL_BOOT: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.expectsExit = false;
    const keep = text => {
      this.output = (this.output + text).slice(-4_000_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      const exit = {
        host: this.name,
        code,
        signal,
        atMs: performance.now(),
        expected: this.expectsExit,
      };
      this.exits.push(exit);
      this.onExit?.(exit);
    });
  }

  isRunning() {
    const {child} = this;
    return child && child.exitCode === null && child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning()) {
      this.child.kill(name);
    }
  }

  async isReady() {
    try {
      const response = await fetch(`http://${this.ready}/readiness`, {
        signal: AbortSignal.timeout(1000),
      });
      await response.text();
      return response.status === 200;
    } catch {
      return false;
    }
  }

  waitUntilReady() {
    return waitFor(`${this.name} is ready`, 20_000, () => this.isReady());
  }

  /** Ends the process, whatever it does. */
  async end() {
    this.expectsExit = true;
    if (this.isRunning()) {
      const gone = new Promise(resolve => this.child.once('exit', resolve));
      this.child.kill('SIGKILL');
      await gone;
    }
  }

  formatSettings(bootstrap) {
    const {store, cloud, hosts, bounds} = this.system;
    const seeds = hosts.slice(0, 3).map(({control}) => control);
    return `node = "${this.name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "${this.zone}"
region = "costa-atlantica"
internal_ports = [${this.ports[3]},${this.ports[4]}]
seeds = ${JSON.stringify(seeds)}
bootstrap = ${bootstrap}
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"]
[zones]
pinamar = "costa-atlantica"
carilo = "costa-atlantica"
[listen]
front = "${this.front}"
ready = "${this.ready}"
control = "${this.control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
${Object.entries(bounds)
  .map(([key, value]) => `${key} = ${value}`)
  .join('\n')}
[platform]
address = "${store.address}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_ms = 5.0
partition_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
[cloud]
address = "${cloud.address}"
rate_per_s = 50.0
duties = ["usage","scaling"]
duty_per_s = 50.0
`;
  }
}
