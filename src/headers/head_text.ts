/** RFC 9110, 5.6.2: token. */
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** RFC 9110, 5.5: field-value, one byte a character. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
/** The bytes that node:http sends in a request line. */
const REQUEST_TARGET = /^[\x21-\x7e\x80-\xff]+$/;

/** Returns whether a text can be the name of a header. */
export function isHeaderName(text: string): boolean {
  return HEADER_NAME.test(text);
}

/** Returns whether a text can be the value of a header. */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE.test(text);
}

/** Returns whether a text can be the target in a request line. */
export function isRequestTarget(text: string): boolean {
  return REQUEST_TARGET.test(text);
}
