import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { HoldingKind, MemoryLedger } from '@limpetnotch/overload';
import { chooseEvicted, costOfHead } from '@limpetnotch/overload';
import type { BufferCollector } from '../overload/bufferCollector';
import { closeOnceDone } from './closeOnceDone';
import { freeHead } from './freeHead';
import { GuardedConnection } from './guardedConnection';
import type { UnfinishedReason, UnfinishedRequest } from './unfinishedRequest';

const CHECK_MILLISECONDS = 500;

/** A field has a name of one byte, a colon and a line end at least. */
const LEAST_FIELD_BYTES = 4;

/** The colon and the line end. */
const FIELD_SEPARATOR_BYTES = 3;

/** Requests of one connection whose answers have not left; clients that pipeline send a few. */
const MAXIMUM_PIPELINED_REQUESTS = 32;

/** Memory of a byte of an unfinished head, which may consist of the shortest fields. */
const HEAD_BYTE_COST = 32;

/** An answer counts as unread after this time without progress if its memory is needed. */
const STALLED_MILLISECONDS = 1_000;

/** Bytes of a request that are discarded after its answer; the largest permitted body has fewer. */
const MAXIMUM_DISCARDED_BYTES = 8 * 1024 * 1024;

const RETRY_AFTER_SECONDS = '1';

/** Limits of one listener, which a configuration may change. */
export interface ConnectionLimits {
  readonly headerBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Applies until the first configuration is loaded, and to listeners that it does not concern. */
const DEFAULT_LIMITS: ConnectionLimits = {
  headerBytes: 16_384,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};

/** Parts of a {@link ConnectionGuard}. */
export interface ConnectionGuardParts {
  /** Name of the listener in logs and metrics. */
  readonly listener: string;
  readonly kind: HoldingKind;
  readonly maximumConnections: number;
  readonly ledger: MemoryLedger;
  readonly collector: BufferCollector;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Why a connection is closed or a request refused. */
type Cause =
  | 'body-bytes'
  | 'connections'
  | 'head-bytes'
  | 'head-fields'
  | 'head-time'
  | 'memory'
  | 'no-progress'
  | 'pipelined'
  | 'unread';

/** Returns the least size that a head with these fields can have. */
const bytesOfHead = ({ rawHeaders, method = '', url = '' }: IncomingMessage): number =>
  rawHeaders.reduce(
    (sum, text) => sum + text.length + FIELD_SEPARATOR_BYTES / 2,
    method.length + url.length,
  );

const respondAndClose = (response: ServerResponse, status: number): void => {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const retry = status === 503 ? { 'retry-after': RETRY_AFTER_SECONDS } : {};
  response.writeHead(status, { ...retry, 'content-length': 0, connection: 'close' }).end();
};

/** Bounds the connections of a listener and what their callers hold without making progress. */
export class ConnectionGuard {
  readonly #parts: ConnectionGuardParts;

  readonly #connections = new Map<Socket, GuardedConnection>();

  readonly #unfinished = new WeakMap<ServerResponse, UnfinishedRequest>();

  #limits = DEFAULT_LIMITS;

  constructor(parts: ConnectionGuardParts) {
    this.#parts = parts;
  }

  setLimits(limits: ConnectionLimits): void {
    this.#limits = limits;
  }

  /** Observes the connections of a server until it closes. */
  attach(server: Server): void {
    const guarded = server;
    guarded.maxHeadersCount = 0;
    server.on('connection', (socket: Socket) => this.#add(socket));
    const timer = setInterval(() => this.#check(), CHECK_MILLISECONDS).unref();
    server.once('close', () => clearInterval(timer));
  }

  /** Whether requests of a connection are ignored, since it closes. */
  isIgnored({ socket }: IncomingMessage): boolean {
    return this.#connections.get(socket)?.isClosing ?? true;
  }

  /** Returns the memory of a request that has been admitted. */
  findUnfinished(response: ServerResponse): UnfinishedRequest | undefined {
    return this.#unfinished.get(response);
  }

  /** Records that the handler of a request starts; from now on it may run. */
  recordHandled(response: ServerResponse): void {
    this.#connections.get(response.req.socket)?.recordHandled(response);
  }

  /** Accounts for a request whose head was read; returns whether it may be served. */
  admit(request: IncomingMessage, response: ServerResponse): boolean {
    const connection = this.#connections.get(request.socket);
    if (!connection || connection.isClosing) return false;
    if (connection.responses.size >= MAXIMUM_PIPELINED_REQUESTS) {
      this.#closeAfterRunning(connection, 'pipelined');
      return false;
    }
    connection.begin(request, response);
    return this.#isHeadPermitted(request, response) && this.#charge(connection, response);
  }

  /** Closes connections whose callers don't read complete answers, until so much is freed. */
  closeStalledReaders(bytes: number): void {
    const before = performance.now() - STALLED_MILLISECONDS;
    const stalled = [...this.#connections.values()]
      .filter(
        (connection) =>
          connection.wait.kind === 'unread' && connection.lastProgressMilliseconds < before,
      )
      .sort((one, other) => other.unreadBytes - one.unreadBytes);
    let freed = 0;
    for (const connection of stalled) {
      if (freed >= bytes) return;
      freed += connection.unreadBytes;
      this.#close(connection, 'unread');
    }
  }

  #add(socket: Socket): void {
    const { maximumConnections, ledger, kind } = this.#parts;
    if (this.#connections.size >= maximumConnections) {
      this.#connections.forEach((connection) => connection.checkProgress());
      const evicted = chooseEvicted(this.#connections.values());
      this.#record('connections');
      if (!evicted) {
        socket.destroy();
        return;
      }
      this.#remove(evicted);
      evicted.socket.destroy();
    }
    const headHolding = ledger.open({
      kind,
      source: socket.remoteAddress ?? '',
      isRunning: () => false,
      stop: () => this.#closeFor(socket, 'memory'),
    });
    const connection = new GuardedConnection(socket, headHolding);
    this.#connections.set(socket, connection);
    socket.once('close', () => this.#remove(connection));
  }

  #remove(connection: GuardedConnection): void {
    connection.headHolding.close();
    this.#connections.delete(connection.socket);
  }

  #isHeadPermitted(request: IncomingMessage, response: ServerResponse): boolean {
    const { headerBytes } = this.#limits;
    const isLarge = bytesOfHead(request) > headerBytes;
    const hasManyFields = request.rawHeaders.length / 2 > headerBytes / LEAST_FIELD_BYTES;
    if (!isLarge && !hasManyFields) return true;
    this.#record(isLarge ? 'head-bytes' : 'head-fields');
    respondAndClose(response, 431);
    return false;
  }

  #charge(connection: GuardedConnection, response: ServerResponse): boolean {
    const { ledger, kind } = this.#parts;
    const holding = ledger.open({
      kind,
      source: connection.socket.remoteAddress ?? '',
      isRunning: () => connection.isRunningFor(response),
      stop: () => this.#refuse(response, 'overloaded'),
    });
    const refuse = (reason: UnfinishedReason): void =>
      respondAndClose(response, reason === 'overloaded' ? 503 : 408);
    const recordReceived = (bytes: number): void => this.#parts.collector.record(bytes);
    this.#unfinished.set(response, { holding, recordReceived, refuse });
    response.once('close', () => holding.close());
    holding.charge(costOfHead(response.req.rawHeaders));
    return holding.isOpen;
  }

  #refuse(response: ServerResponse, reason: UnfinishedReason): void {
    this.#record(reason === 'overloaded' ? 'memory' : 'no-progress');
    if (response.writableEnded) response.req.socket.destroy();
    else this.#unfinished.get(response)?.refuse(reason);
    freeHead(response.req);
    const connection = this.#connections.get(response.req.socket);
    if (connection && connection.responses.size > 1) this.#closeAfterRunning(connection, 'memory');
  }

  #check(): void {
    [...this.#connections.values()].forEach((connection) => {
      connection.checkProgress();
      this.#checkConnection(connection);
    });
    const { metrics, listener } = this.#parts;
    metrics.gauge('overload.connections', this.#connections.size, { listener });
  }

  #checkConnection(connection: GuardedConnection): void {
    const now = performance.now();
    const { headerTimeoutMilliseconds, idleTimeoutMilliseconds } = this.#limits;
    const silentMilliseconds = now - connection.lastProgressMilliseconds;
    const { wait } = connection;
    switch (wait.kind) {
      case 'running':
        return;
      case 'idle':
        if (!connection.hasServed && silentMilliseconds > idleTimeoutMilliseconds) {
          this.#close(connection, 'no-progress');
        }
        return;
      case 'head':
        connection.headHolding.release(connection.headHolding.bytes);
        connection.headHolding.charge(wait.bytes * HEAD_BYTE_COST);
        if (now - wait.sinceMilliseconds > headerTimeoutMilliseconds) {
          this.#close(connection, 'head-time');
        }
        return;
      case 'body':
        if (wait.discardedBytes > MAXIMUM_DISCARDED_BYTES) this.#close(connection, 'body-bytes');
        else if (silentMilliseconds > idleTimeoutMilliseconds) this.#endSilent(connection);
        return;
      case 'unread':
        if (silentMilliseconds > idleTimeoutMilliseconds) this.#endSilent(connection);
    }
  }

  /** Refuses the unfinished request of a connection without progress, or closes it. */
  #endSilent(connection: GuardedConnection): void {
    const unanswered = [...connection.responses].find(({ writableEnded }) => !writableEnded);
    if (unanswered) this.#refuse(unanswered, 'too-slow');
    else this.#close(connection, connection.wait.kind === 'unread' ? 'unread' : 'no-progress');
  }

  #closeFor(socket: Socket, cause: Cause): void {
    const connection = this.#connections.get(socket);
    if (connection) this.#close(connection, cause);
  }

  #close({ socket }: GuardedConnection, cause: Cause): void {
    this.#record(cause);
    socket.destroy();
  }

  /** Reads nothing more from a connection, and closes it once no request of it is running. */
  #closeAfterRunning(connection: GuardedConnection, cause: Cause): void {
    const { socket, responses } = connection;
    if (connection.isClosing) return;
    const closing = connection;
    closing.isClosing = true;
    this.#record(cause);
    closeOnceDone(socket, responses, () => !connection.isRunning);
  }

  #record(cause: Cause): void {
    this.#parts.metrics.increment('overload.closed', 1, { listener: this.#parts.listener, cause });
  }
}
