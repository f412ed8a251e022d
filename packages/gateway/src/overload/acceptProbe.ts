import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** Result of a probe. */
export type ProbeResult =
  | { readonly kind: 'accepted'; readonly milliseconds: number }
  | { readonly kind: 'failed'; readonly code: string };

/** Address that an {@link AcceptProbe} connects to. */
export interface ProbeAddress {
  readonly host: string;
  readonly port: number;
}

/** Whether both sockets are ends of the same connection. */
const isOtherEnd = (accepted: Socket, { localPort, localAddress }: Socket): boolean =>
  accepted.remotePort === localPort && accepted.remoteAddress === localAddress;

/**
 * A connection of this process to its own listener. It waits behind the callers' connections that the
 * process has not accepted yet, which shows how long they wait; the runtime has no other measure of it.
 */
export class AcceptProbe {
  readonly #onEnd: (result: ProbeResult) => void;

  readonly #startedAtMilliseconds = performance.now();

  readonly #client: Socket;

  /** Connections accepted before the address of this end is known. */
  #earlyConnections: Socket[] = [];

  #isEnded = false;

  /** Starts connecting; `onEnd` is called once. */
  constructor({ host, port }: ProbeAddress, onEnd: (result: ProbeResult) => void) {
    this.#onEnd = onEnd;
    this.#client = connect({ host, port });
    this.#client.once('connect', () => this.#checkEarlyConnections());
    this.#client.once('error', (error: NodeJS.ErrnoException) => this.#fail(error.code));
    this.#client.once('close', () => this.#fail('closed'));
  }

  /** Time since the probe started, in milliseconds. */
  get ageMilliseconds(): number {
    return performance.now() - this.#startedAtMilliseconds;
  }

  /** Records a connection that the listener has accepted. */
  onConnection(accepted: Socket): void {
    if (this.#isEnded) return;
    if (this.#client.connecting) {
      this.#earlyConnections.push(accepted);
      return;
    }
    this.#checkConnection(accepted);
  }

  /** Ends the probe without a result. */
  abandon(): void {
    this.#isEnded = true;
    this.#earlyConnections = [];
    this.#client.destroy();
  }

  #checkEarlyConnections(): void {
    const early = this.#earlyConnections;
    this.#earlyConnections = [];
    early.forEach((accepted) => this.#checkConnection(accepted));
  }

  #checkConnection(accepted: Socket): void {
    if (this.#isEnded || !isOtherEnd(accepted, this.#client)) return;
    accepted.destroy();
    this.#end({ kind: 'accepted', milliseconds: this.ageMilliseconds });
  }

  #fail(code = 'unknown'): void {
    this.#end({ kind: 'failed', code });
  }

  #end(result: ProbeResult): void {
    if (this.#isEnded) return;
    this.abandon();
    this.#onEnd(result);
  }
}
