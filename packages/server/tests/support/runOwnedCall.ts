import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { create } from '@bufbuild/protobuf';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { RunCallEvent } from '@limpetnotch/peer-protocol';
import { RunCallRequestSchema } from '@limpetnotch/peer-protocol';
import type { CallOutcome, JournalError } from '@limpetnotch/programs';
import type { ScheduledCall, TargetGrant } from '@limpetnotch/scheduling';
import { trace } from '@opentelemetry/api';
import { errAsync, ok, okAsync } from 'neverthrow';
import { AnswerChannel } from '../../src/owner/answerChannel';
import { CallRunner } from '../../src/owner/callRunner';
import type { CallRunnerOptions } from '../../src/owner/callRunner';
import { TargetClient } from '../../src/targets/targetClient';

/** Options of {@link runOwnedCall}. */
export interface OwnedCallOptions {
  readonly isIdempotent: boolean;
  /** Whether the targets are model engines. */
  readonly isChat: boolean;
  /** Handlers of the targets, in the order in which they are chosen. */
  readonly targets: readonly RequestListener[];
  /** Why the outcome can't be committed; undefined if it is. */
  readonly commitError?: JournalError;
  readonly deadlineSeconds?: number;
}

/** What a call at its owner led to. */
export interface OwnedCallView {
  readonly events: readonly RunCallEvent[];
  /** The outcome for the journal. */
  readonly outcome: CallOutcome | undefined;
}

const CHAT = { model: 'm', messages: [{ role: 'user', content: 'hello' }] };

const USAGE = { tokens: 100, calls: 1, spendMicros: 0 };

const toGrant = (target: string, address: string): TargetGrant => ({
  target,
  address,
  availabilityZone: 'a',
  priority: 0,
  queuedMilliseconds: 0,
  resumable: false,
  progress: () => undefined,
  release: () => undefined,
});

/** Runs one call at its owner, at targets over real connections and with a stand-in of the ledger. */
export const runOwnedCall = async ({
  isIdempotent,
  isChat,
  targets,
  commitError,
  deadlineSeconds = 2,
}: OwnedCallOptions): Promise<OwnedCallView> => {
  const servers = await Promise.all(
    targets.map(async (handle) => {
      const server = createServer(handle).listen(0, '127.0.0.1');
      await once(server, 'listening');
      return server;
    }),
  );
  const addresses = servers.map((server) => {
    const address = server.address();
    return `http://127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  });
  const client = new TargetClient();
  const channel = new AnswerChannel<RunCallEvent>();
  let outcome: CallOutcome | undefined;
  const acquire = ({ excludedTargets }: ScheduledCall) => {
    const index = addresses.findIndex((_, one) => !excludedTargets.includes(`t${one}`));
    const address = addresses[index];
    if (address !== undefined) return okAsync(toGrant(`t${index}`, address));
    return errAsync({ problem: 'no-target', detail: 'none is left' });
  };
  const ledger = {
    begin: async () =>
      ok({ kind: 'run', callId: 'c', sessionId: 's', sequence: 0, reservation: USAGE }),
    finish: (_callId: string, finished: CallOutcome) => {
      outcome = finished;
      return commitError ? errAsync(commitError) : okAsync({ durability: 'durable' });
    },
    recordMemoryHeld: () => undefined,
  };
  const options = {
    request: create(RunCallRequestSchema, { method: 'POST', pathAndQuery: '/', route: 'r' }),
    plan: {
      routeName: 'r',
      route: {
        idempotent: isIdempotent,
        deadlineSeconds,
        progressDeadlineSeconds: deadlineSeconds,
        spendMicrosPerCall: 0,
        targets: [],
      },
      chat: isChat ? CHAT : undefined,
      prefix: [],
      promptTokens: 0,
      callRequest: { program: { organisation: 'o', path: 'p' } },
    },
    partition: { epoch: 7, ledger, lossSignal: new AbortController().signal },
    scheduler: { acquire, mayRetry: () => true },
    targets: client,
    metrics: new MemoryMetrics(),
    logger: silentLogger,
    tracer: trace.getTracer('test'),
    channel,
    signal: new AbortController().signal,
  } as unknown as CallRunnerOptions;
  const events: RunCallEvent[] = [];
  const reading = (async () => {
    for await (const event of channel) events.push(event);
  })();
  await new CallRunner(options).run();
  channel.close();
  await reading;
  await client.close();
  servers.forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
  return { events, outcome };
};
