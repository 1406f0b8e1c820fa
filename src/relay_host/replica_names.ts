/** Names of the replicas in the messages between hosts. */
export const REPLICA = {CATALOG: 'catalog', SERVERS: 'servers'} as const;
