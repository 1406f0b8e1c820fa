/** Creates an object with one property, or without it if the value is `undefined`. */
export function optional<Name extends string, Value>(
  name: Name,
  value: Value | undefined,
): Partial<Record<Name, Value>> {
  return value === undefined
    ? {}
    : ({[name]: value} as Partial<Record<Name, Value>>);
}
