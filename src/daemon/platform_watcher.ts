import {Log} from '../log/index.js';
import {LeavingHosts, Membership} from '../membership/index.js';
import {HostList} from '../host_list/index.js';
import {Clock} from '../time/index.js';

/** Dependencies and settings of the platform watcher. */
export interface PlatformWatcherOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly hostList: HostList;
  readonly membership: Membership;
  readonly leavingHosts: LeavingHosts;
  /** Name of this host. */
  readonly host: string;
  /** Called on a reclaim notice for this host, with the time left. */
  readonly onOwnNotice: (remainingMs: number) => void;
  /** Pause between two polls, in milliseconds. */
  readonly pollMs: number;
}

/** Polls the platform for the host list and reclaim notices. */
export class PlatformWatcher {
  private reachable = true;

  constructor(private readonly options: PlatformWatcherOptions) {}

  /** Returns whether the platform answered the last poll; true before the first. */
  isReachable(): boolean {
    return this.reachable;
  }

  /** Polls until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll();
      await this.options.clock.sleep(this.options.pollMs, signal);
    }
  }

  /** Polls once and applies the results. */
  async poll(): Promise<void> {
    const {hostList, membership, leavingHosts, host, clock} = this.options;
    const hosts = await hostList.listHosts();
    const notices = await hostList.listNotices();
    this.setReachable(hosts.isOk && notices.isOk);
    membership.trim();
    leavingHosts.trim();
    if (hosts.isOk) {
      membership.addListed(hosts.value);
      leavingHosts.addListed(hosts.value);
    }
    if (notices.isOk) {
      leavingHosts.addNotices(notices.value);
      for (const notice of notices.value) {
        if (notice.host === host) {
          const remainingMs = notice.deadlineMs - clock.now().getTime();
          this.options.onOwnNotice(remainingMs);
        }
      }
    }
  }

  private setReachable(reachable: boolean): void {
    if (this.reachable !== reachable) {
      this.reachable = reachable;
      this.options.log.warn('platform_reachable', {reachable});
    }
  }
}
