/** Authenticated TCP connections between entry hosts. */
export {chooseLinks} from './choose_links.js';
export type {LinkCandidate} from './choose_links.js';
export {encodeFrame, FrameReader} from './frame.js';
export {
  computeProof,
  createGreeting,
  greetingSchema,
  PROTOCOL_VERSION,
} from './handshake.js';
export type {Greeting, PeerIdentity} from './handshake.js';
export {PeerConnection} from './peer_connection.js';
export type {PeerConnectionOptions, PeerHandler} from './peer_connection.js';
export {PeerFailure, PeerFailureKind} from './peer_failure.js';
export {PeerLink} from './peer_link.js';
export type {PeerLinkOptions} from './peer_link.js';
export {PeerListener} from './peer_listener.js';
export {Peers} from './peers.js';
export type {PeersOptions} from './peers.js';
