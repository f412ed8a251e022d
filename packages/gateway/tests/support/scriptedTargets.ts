import type { RequestListener, ServerResponse } from 'node:http';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { ForwardedPart, ForwardingFailure } from '../../src/forwarding/forwardedPart';
import { Forwarding } from '../../src/forwarding/forwarding';
import { TargetAccess } from '../../src/forwarding/targetAccess';

/** What a target does with a request that it gets. */
export type TargetStep =
  /** Runs the request and answers with a status; `isWhole` unless the answer is cut off. */
  | { readonly kind: 'answers'; readonly status: number; readonly isWhole: boolean }
  /** States that it does not run the request. */
  | { readonly kind: 'declines'; readonly status: number }
  /** Runs the request after a statement that another one has not run. */
  | { readonly kind: 'answers-another' }
  | { readonly kind: 'breaks'; readonly hasRun: boolean }
  /** Runs the request without an answer. */
  | { readonly kind: 'hangs' };

/** What happens to one dispatch. */
export interface ScriptedDispatch {
  readonly target: TargetStep;
  /** Time until the target begins. */
  readonly pauseMilliseconds: number;
  /** What another instance does that should send the request to its target. */
  readonly forwarder: 'sends' | 'is-lost' | ForwardingFailure;
}

const HAS_NOT_RUN = { 'x-signed': '1', 'x-not-run': '1' };

const EVENT = 'id: 1\ndata: a\n\n';

/** A response shorter than it declares. */
const CUT_OFF = { 'content-length': '1000' };

const hasRun = (step: TargetStep): boolean => {
  switch (step.kind) {
    case 'answers':
    case 'answers-another':
    case 'hangs':
      return true;
    case 'breaks':
      return step.hasRun;
    case 'declines':
      return false;
  }
};

const respond = (step: TargetStep, response: ServerResponse): void => {
  switch (step.kind) {
    case 'answers':
      response.writeHead(step.status, { 'x-signed': '1', ...(!step.isWhole && CUT_OFF) });
      response.write(EVENT);
      if (step.isWhole) response.end();
      else setTimeout(() => response.destroy(), 2);
      return;
    case 'answers-another':
      response.writeHead(503, { ...HAS_NOT_RUN, 'x-id': 'another' }).end();
      return;
    case 'declines':
      response.writeHead(step.status, HAS_NOT_RUN).end();
      return;
    case 'breaks':
      response.destroy();
      break;
    case 'hangs':
  }
};

const toHead = (status: number, id: string, headers: Record<string, string>): ForwardedPart => ({
  kind: 'head',
  status,
  rawHeaders: Object.entries({ 'x-id': id, ...headers }).flat(),
  framing: 'delimited',
});

/** Targets, directly reached and through other instances, that treat dispatches by a script. */
export class ScriptedTargets {
  /** Number of times that the request was run. */
  runs = 0;

  readonly #dispatches: ScriptedDispatch[];

  constructor(dispatches: readonly ScriptedDispatch[]) {
    this.#dispatches = [...dispatches];
  }

  /** Serves a dispatch on a direct connection. A target runs what it has, even for nobody. */
  readonly handle: RequestListener = (request, response) => {
    request.resume();
    const { target, pauseMilliseconds } = this.#takeDispatch();
    void delay(pauseMilliseconds).then(() => {
      this.#run(target);
      respond(target, response);
    });
  };

  /** Returns the access of an instance that reaches some targets only through others. */
  createAccess(isForwarded: (targetId: string) => boolean): TargetAccess {
    const forwarding = new Forwarding({
      peers: { names: ['p0', 'p1'], forward: () => this.#forward() },
      availabilityZone: 'a',
      availabilityZoneOf: () => 'a',
      logger: silentLogger,
      metrics: new MemoryMetrics(),
    });
    return new TargetAccess({
      forwarding,
      checker: { explainFailure: async () => 'unknown' },
      paths: {
        isCut: ({ id }) => isForwarded(id),
        isSilent: () => false,
        recordReached: () => undefined,
      },
    });
  }

  /** Returns the next dispatch of the script; after its end all targets decline. */
  #takeDispatch(): ScriptedDispatch {
    const decline = { kind: 'declines', status: 503 } as const;
    return (
      this.#dispatches.shift() ?? { target: decline, pauseMilliseconds: 0, forwarder: 'sends' }
    );
  }

  #run(step: TargetStep): void {
    if (hasRun(step)) this.runs += 1;
  }

  async *#forward(): AsyncGenerator<ForwardedPart> {
    const { target, pauseMilliseconds, forwarder } = this.#takeDispatch();
    await delay(pauseMilliseconds);
    switch (forwarder) {
      case 'sends':
        this.#run(target);
        yield* ScriptedTargets.#toParts(target);
        return;
      case 'broken':
        this.#run(target);
        yield { kind: 'failure', failure: 'broken', detail: 'the connection broke' };
        return;
      case 'is-lost':
        this.#run(target);
        throw new Error('socket hang up');
      case 'declined':
      case 'target-unavailable':
      case 'refused':
      case 'not-sent':
        yield { kind: 'failure', failure: forwarder, detail: forwarder };
    }
  }

  static async *#toParts(step: TargetStep): AsyncGenerator<ForwardedPart> {
    switch (step.kind) {
      case 'answers':
        yield toHead(step.status, 'r1', { 'x-signed': '1' });
        yield { kind: 'data', bytes: Buffer.from(EVENT) };
        if (step.isWhole) yield { kind: 'end' };
        return;
      case 'answers-another':
        yield toHead(503, 'another', HAS_NOT_RUN);
        return;
      case 'declines':
        yield toHead(step.status, 'r1', HAS_NOT_RUN);
        yield { kind: 'end' };
        return;
      case 'breaks':
        yield { kind: 'failure', failure: 'broken', detail: 'the connection broke' };
        return;
      case 'hangs':
        for (let part = 0; part < 10; part += 1) {
          await delay(100);
          yield { kind: 'progress' };
        }
    }
  }
}
