/** Splits an address into its IP address and its port. */
export function parseAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
