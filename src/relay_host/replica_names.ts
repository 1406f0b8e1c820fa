/** Names under which hosts tell each other of the replicas. */
export const REPLICA = {CATALOG: 'catalog', SERVERS: 'servers'} as const;
