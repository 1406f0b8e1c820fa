import {Result} from 'true-myth';
import {HostList, ListedHost, ReclaimNotice} from './host_list.js';
import {sendJson} from '../http/index.js';

/** Client of the platform's host list and reclaim notices over HTTP. */
export class HttpHostList implements HostList {
  /**
   * @param url - Base URL of the platform's host interface.
   * @param timeoutMs - Time limit per call, in milliseconds.
   */
  constructor(
    private readonly url: string,
    private readonly timeoutMs: number,
  ) {}

  listHosts(): Promise<Result<readonly ListedHost[], string>> {
    return this.fetchList<ListedHost>('hosts');
  }

  listNotices(): Promise<Result<readonly ReclaimNotice[], string>> {
    return this.fetchList<ReclaimNotice>('notices');
  }

  private async fetchList<T>(
    path: string,
  ): Promise<Result<readonly T[], string>> {
    const answer = await sendJson({
      method: 'GET',
      url: `${this.url}/${path}`,
      timeoutMs: this.timeoutMs,
    });
    if (answer.isErr) {
      return Result.err(answer.error.detail);
    }
    if (answer.value.status !== 200 || !Array.isArray(answer.value.body)) {
      return Result.err(
        `unexpected response with status ${answer.value.status}`,
      );
    }
    return Result.ok(answer.value.body as readonly T[]);
  }
}
