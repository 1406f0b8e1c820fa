/** Bindings of the state a host keeps: configuration, membership, servers and usage. */
import {Container} from 'inversify';
import {UsageCounter} from '../../admission/index.js';
import {
  ConfigurationStore,
  ConfigurationTable,
} from '../../configuration/index.js';
import {LeavingHosts, Membership} from '../../membership/index.js';
import {Metrics} from '../../metrics/index.js';
import {refusesConnections} from '../../http/index.js';
import {
  TerminatedServers,
  Quarantine,
  QuarantineRows,
} from '../../quarantine/index.js';
import {RetryBudget, ServerDirectory} from '../../routing/index.js';
import {createMetrics} from '../create_metrics.js';
import {CLIENTS, CLOCK, LOG, SELF, SETTINGS, TABLE} from '../identifiers.js';
import {bind} from '../../container/index.js';

/** Binds configuration, membership, servers, quarantine and usage. */
export function bindSystemState(container: Container): void {
  bind(container, Metrics, () => createMetrics());
  bind(
    container,
    ConfigurationStore,
    context => new ConfigurationStore(context.get(LOG)),
  );
  bind(
    container,
    ConfigurationTable,
    context => new ConfigurationTable(context.get(TABLE), context.get(CLOCK)),
  );
  bind(
    container,
    Membership,
    context =>
      new Membership({
        self: context.get(SELF),
        deadAfterMs: context.get(SETTINGS).peers.dead_after_ms,
        clock: context.get(CLOCK),
        log: context.get(LOG),
      }),
  );
  bind(
    container,
    LeavingHosts,
    context => new LeavingHosts(context.get(CLOCK), context.get(LOG)),
  );
  bind(container, ServerDirectory, context => {
    const membership = context.get(Membership);
    const directory = new ServerDirectory(
      context.get(CLIENTS),
      context.get(CLOCK),
      context.get(SELF).dataCentre,
      () => membership.listLiveNames().length,
    );
    context
      .get(ConfigurationStore)
      .addListener(view => directory.setServers(view.servers.values()));
    return directory;
  });
  bindQuarantine(container);
  bind(container, RetryBudget, context => new RetryBudget(context.get(CLOCK)));
  bind(container, UsageCounter, context => {
    const membership = context.get(Membership);
    const {dataCentre} = context.get(SELF);
    return new UsageCounter(() => listPeerUsage(membership, dataCentre));
  });
}

function bindQuarantine(container: Container): void {
  bind(
    container,
    Quarantine,
    context =>
      new Quarantine({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        metrics: context.get(Metrics),
      }),
  );
  bind(
    container,
    TerminatedServers,
    context => new TerminatedServers(context.get(CLOCK), refusesConnections),
  );
  bind(container, QuarantineRows, context => {
    const membership = context.get(Membership);
    return new QuarantineRows({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      table: context.get(TABLE),
      quarantine: context.get(Quarantine),
      reachesOthers: () => membership.areMostAlive(),
    });
  });
}

function listPeerUsage(
  membership: Membership,
  dataCentre: string,
): {customer: string; inFlight: number}[] {
  const usage: {customer: string; inFlight: number}[] = [];
  for (const peer of membership.listLivePeers()) {
    if (peer.dataCentre !== dataCentre) {
      continue;
    }
    for (const [customer, inFlight] of peer.status?.usage ?? []) {
      usage.push({customer, inFlight});
    }
  }
  return usage;
}
