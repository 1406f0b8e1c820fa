import {RolloutOrder} from './rollout_order.js';

/** The latest order for each service, as known to this host. */
export class RolloutOrders {
  private readonly orders = new Map<string, RolloutOrder>();

  /** Sets an order; it replaces an earlier one for the same service. */
  set(order: RolloutOrder): void {
    const known = this.orders.get(order.service);
    if (known === undefined || known.number < order.number) {
      this.orders.set(order.service, order);
    }
  }

  /** Removes the order for a service, which was withdrawn. */
  remove(service: string): void {
    this.orders.delete(service);
  }

  /** Returns the order for a service; `undefined` if there is none. */
  get(service: string): RolloutOrder | undefined {
    return this.orders.get(service);
  }

  /** Returns the orders for all services. */
  list(): readonly RolloutOrder[] {
    return [...this.orders.values()];
  }
}
