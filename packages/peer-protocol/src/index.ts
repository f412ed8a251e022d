export { AsyncQueue } from './asyncQueue';
export type { ControlMessage, ControlReply } from './controlStream';
export * from './generated/limpetnotch/fleet/v1/fleet_pb';
export * from './generated/limpetnotch/peer/v1/peer_pb';
export type { PeerCallError } from './peerCallError';
export { PeerClient } from './peerClient';
export { PeerClients } from './peerClients';
export { PeerServer } from './peerServer';
export type { PeerServerOptions } from './peerServer';
