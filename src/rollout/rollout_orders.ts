import {RolloutOrder} from './rollout_order.js';

/** The latest order for each service, as this host has heard. */
export class RolloutOrders {
  private readonly orders = new Map<string, RolloutOrder>();

  /** Takes in an order; it replaces an earlier one for the service. */
  set(order: RolloutOrder): void {
    const known = this.orders.get(order.service);
    if (known === undefined || known.number < order.number) {
      this.orders.set(order.service, order);
    }
  }

  /** Takes in that an order was withdrawn. */
  remove(service: string): void {
    this.orders.delete(service);
  }

  /** Returns the order for a service. */
  get(service: string): RolloutOrder | undefined {
    return this.orders.get(service);
  }

  /** Returns the order for each service that has one. */
  list(): readonly RolloutOrder[] {
    return [...this.orders.values()];
  }
}
