/** Makes a property that is left out where there is no value. */
export function optional<Name extends string, Value>(
  name: Name,
  value: Value | undefined,
): Partial<Record<Name, Value>> {
  return value === undefined
    ? {}
    : ({[name]: value} as Partial<Record<Name, Value>>);
}
