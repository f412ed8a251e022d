import type { Socket } from 'node:net';

/** Observes how long connections and requests of callers wait for this process; in milliseconds. */
export interface IngressObserver {
  /** A connection was accepted. */
  onConnection(socket: Socket): void;
  /** The head of a connection's first request was read, this long after its acceptance. */
  onFirstRequest(milliseconds: number): void;
  /** A request was passed to its handler, this long after its head was read. */
  onHandled(milliseconds: number): void;
}
