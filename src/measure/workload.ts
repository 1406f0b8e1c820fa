import {Random} from '../random/index.js';

/** Traffic profile of one group of users. */
export interface Profile {
  readonly name: string;
  /** Length of the prefix that prompts of one customer and document kind share. */
  readonly sharedCharacters: number;
  /** Minimum length of the rest of a prompt, which no other prompt shares. */
  readonly ownCharacters: number;
  /** Mean tokens of an answer. */
  readonly answerTokens: number;
  /** Cost of a recomputed token, and of a second past the latency target. */
  readonly weights: {
    readonly recomputedToken: number;
    readonly lateSecond: number;
  };
  /** Customers, and the share of all requests that each sends. */
  readonly customers: readonly {
    readonly name: string;
    readonly share: number;
  }[];
}

const CUSTOMERS = [
  {name: 'large-1', share: 0.35},
  {name: 'large-2', share: 0.3},
  {name: 'small-1', share: 0.15},
  {name: 'small-2', share: 0.12},
  {name: 'small-3', share: 0.08},
];

/** Long dossiers on long shared prompts; recomputed tokens have the highest weight. */
export const GUILD: Profile = {
  name: 'guild',
  sharedCharacters: 6000,
  ownCharacters: 1200,
  answerTokens: 120,
  weights: {recomputedToken: 3, lateSecond: 1},
  customers: CUSTOMERS,
};

/** Short booking answers; time past the latency target has the highest weight. */
export const CASILLAS: Profile = {
  name: 'casillas',
  sharedCharacters: 2400,
  ownCharacters: 300,
  answerTokens: 30,
  weights: {recomputedToken: 1, lateSecond: 3},
  customers: CUSTOMERS,
};

/** One request of a workload. */
export interface WorkloadRequest {
  readonly customer: string;
  readonly prompt: string;
  readonly tokens: number;
}

/** Number of document kinds per customer; each has its own prompt prefix. */
const PREFIXES_PER_CUSTOMER = 4;

/** Draws random requests of a profile; the sequence depends only on the random source. */
export class Workload {
  private drawn = 0;
  private readonly prefixes = new Map<string, string>();

  constructor(
    private readonly profile: Profile,
    private readonly random: Random,
  ) {}

  /** Draws the customer of the next request, weighted by their shares. */
  drawCustomer(): string {
    let left = this.random.next();
    for (const {name, share} of this.profile.customers) {
      left -= share;
      if (left <= 0) {
        return name;
      }
    }
    return this.profile.customers[0]?.name ?? '';
  }

  /** Draws a request of a customer. */
  draw(customer: string): WorkloadRequest {
    const kind = Math.floor(this.random.next() * PREFIXES_PER_CUSTOMER);
    const own = `${customer} ${this.drawn++} `;
    const spread = 0.5 + this.random.next();
    return {
      customer,
      prompt:
        this.getPrefix(customer, kind) +
        own.repeat(Math.ceil(this.profile.ownCharacters / own.length)),
      tokens: Math.max(1, Math.round(this.profile.answerTokens * spread)),
    };
  }

  private getPrefix(customer: string, kind: number): string {
    const key = `${customer}/${kind} `;
    const known = this.prefixes.get(key);
    if (known !== undefined) {
      return known;
    }
    const {sharedCharacters} = this.profile;
    const text = key
      .repeat(Math.ceil(sharedCharacters / key.length))
      .slice(0, sharedCharacters);
    this.prefixes.set(key, text);
    return text;
  }
}
