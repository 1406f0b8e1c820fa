/** The list of hosts: its interface and an HTTP client. */
export * from './host_list.js';
export {HttpHostList} from './http_host_list.js';
