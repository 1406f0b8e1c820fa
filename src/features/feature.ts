/** Optional behaviours that operators can switch on and off. */
export const Feature = {
  /** Keeps connections to servers for longer, and prefers servers with an idle one. */
  CONNECTION_REUSE: 'connection-reuse',
  /** Transfers large rows compressed, as differences and in segments. */
  BULK_TRANSFER: 'bulk-transfer',
  /** Predicts the times of servers from observed answers. */
  SERVER_MODEL: 'server-model',
  /** Divides scarce places of servers by rank and among customers. */
  FAIR_PLACES: 'fair-places',
  /** Keeps a part of a customer's rate for its more urgent requests. */
  URGENT_RESERVE: 'urgent-reserve',
  /** Refuses requests while this host itself is overloaded. */
  HOST_OVERLOAD: 'host-overload',
  /** Stores usage counts and spending so that they outlive all hosts. */
  DURABLE_COUNTS: 'durable-counts',
} as const;
export type Feature = (typeof Feature)[keyof typeof Feature];

/** How it is decided whether a feature is on. */
export const FeatureMode = {
  /** By the settings and the configuration of the deployment. */
  AUTO: 'auto',
  ON: 'on',
  OFF: 'off',
} as const;
export type FeatureMode = (typeof FeatureMode)[keyof typeof FeatureMode];

/** Modes of the features that are not decided automatically. */
export type FeatureModes = ReadonlyMap<Feature, FeatureMode>;
