/** Peering: the messages that entry hosts exchange about relayed requests. */
export type {HostAddress} from './host_address.js';
export type {HeartbeatReply, HostReport} from './host_report.js';
export {HostReports} from './host_reports.js';
export type {HostReportsOptions} from './host_reports.js';
export {isTableReader} from './is_table_reader.js';
export {KnownHosts} from './known_hosts.js';
export type {KnownHostsOptions} from './known_hosts.js';
export {chooseRelayLinks, isStandbyAggregator} from './choose_relay_links.js';
export {PeerMessages} from './peer_messages.js';
export type {PeerMessagesOptions} from './peer_messages_options.js';
export {ReadAge} from './read_age.js';
export {TableReading} from './table_reading.js';
export type {TableReadingOptions} from './table_reading.js';
export {RowMessages, rowsSchema} from './row_messages.js';
