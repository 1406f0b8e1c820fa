/** What may stand in the head of an HTTP message; node:http throws on anything else. */
export {isHeaderName, isHeaderValue, isRequestTarget} from './head_text.js';
