import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import fc from 'fast-check';
import { ProgramLedger, sharedBody } from '../src';
import type { CallOutcome, CallRequest, CallStart } from '../src';
import { MemoryStore } from './memoryStore';
import type { JournalMode } from './memoryStore';

const TOKEN_LIMIT = 1_000;
const WORST_CASE_TOKENS = 150;
const PATHS = ['alpha', 'alpha/one', 'alpha/one/deep', 'alpha/two', 'beta'];
const MODES: readonly JournalMode[] = ['durable', 'deferred', 'unavailable', 'taken-unavailable'];

type Command =
  | { kind: 'begin'; path: number; key: number; digest: number; cancel: boolean }
  | { kind: 'finish'; pick: number; tokens: number; executed: 'yes' | 'no' | 'unknown' }
  | { kind: 'abandon'; pick: number }
  | { kind: 'replace'; drained: boolean }
  | { kind: 'journal'; mode: JournalMode }
  | { kind: 'slow' }
  | { kind: 'compact' }
  | { kind: 'end'; path: number }
  | { kind: 'pass'; milliseconds: number };

interface Dispatch {
  readonly ledger: ProgramLedger;
  readonly path: string;
  readonly key: string;
  readonly callId: string;
  readonly sequence: number;
  readonly tokens: number;
}

const commands = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('begin' as const),
      path: fc.nat(PATHS.length - 1),
      key: fc.nat(5),
      digest: fc.oneof({ weight: 9, arbitrary: fc.constant(0) }, fc.constant(1)),
      cancel: fc.oneof({ weight: 6, arbitrary: fc.constant(false) }, fc.constant(true)),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('finish' as const),
      pick: fc.nat(9),
      tokens: fc.nat(WORST_CASE_TOKENS),
      executed: fc.constantFrom('yes' as const, 'yes' as const, 'no' as const, 'unknown' as const),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('abandon' as const), pick: fc.nat(9) }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('replace' as const), drained: fc.boolean() }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('journal' as const),
      mode: fc.constantFrom('durable' as const, ...MODES),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('slow' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('compact' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('end' as const), path: fc.nat(4) }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('pass' as const), milliseconds: fc.nat(5_000) }),
  },
);

/** Runs commands against a succession of ledgers and checks invariants after each command. */
class LedgerSimulation {
  readonly #store = new MemoryStore();

  readonly #metrics = new MemoryMetrics();

  #ledger = this.#restore();

  /** Calls that targets are running. */
  #running: Dispatch[] = [];

  /** Number of times a request was sent to a target, by path, key and digest. */
  readonly #sendCounts = new Map<string, number>();

  /** Tokens that each dispatch spent or may spend, by root program and call. */
  readonly #tokens = new Map<string, number>();

  #hasBeenUnavailable = false;

  readonly #failures: unknown[] = [];

  /** Outcomes that were returned to callers as recorded. */
  readonly #returnedOutcomes: { path: string; sequence: number; outcome: CallOutcome }[] = [];

  async apply(command: Command): Promise<void> {
    switch (command.kind) {
      case 'begin':
        this.#begin(command);
        break;
      case 'finish':
        await this.#finish(command);
        break;
      case 'abandon':
        await this.#abandon(command.pick);
        break;
      case 'replace':
        await this.#replace(command.drained);
        break;
      case 'journal':
        this.#store.mode = command.mode;
        this.#hasBeenUnavailable ||= command.mode.endsWith('unavailable');
        this.#store.release();
        break;
      case 'slow':
        this.#store.mode = 'slow';
        break;
      case 'compact':
        // Appends may be pending: the snapshot contains them, and they are replayed after it.
        this.#store.compact(this.#ledger.snapshot());
        break;
      case 'end':
        void this.#ledger.endProgram(LedgerSimulation.#program(PATHS[command.path]!), 'caller');
        break;
      case 'pass':
        jest.advanceTimersByTime(command.milliseconds);
        void this.#ledger.endIdlePrograms(Date.now());
        break;
      // no default
    }
    await jest.advanceTimersByTimeAsync(0);
    this.#check();
  }

  async end(): Promise<void> {
    this.#store.mode = 'durable';
    this.#store.release();
    await jest.advanceTimersByTimeAsync(0);
    await this.#replace(false);
    this.#check();
    const failures = [...this.#metrics.counters()].filter(([name]) => name.includes('assertion'));
    expect(failures).toEqual([]);
  }

  #restore(): ProgramLedger {
    return ProgramLedger.restore({
      snapshot: this.#store.snapshot,
      records: this.#store.records,
      journal: this.#store.claim(),
      logger: silentLogger,
      metrics: this.#metrics,
      settings: { maximumWaitingCalls: 3 },
    })._unsafeUnwrap();
  }

  #begin({ path, key, digest, cancel }: Extract<Command, { kind: 'begin' }>): void {
    const ledger = this.#ledger;
    const controller = new AbortController();
    const request: CallRequest = {
      program: LedgerSimulation.#program(PATHS[path]!),
      singleCall: false,
      idempotencyKey: `key-${String(key)}`,
      requestDigest: `digest-${String(digest)}`,
      route: 'tool',
      idempotent: key % 2 === 0,
      worstCase: { tokens: WORST_CASE_TOKENS, calls: 1, spendMicros: 0 },
      limits: { tokens: TOKEN_LIMIT },
      requestBodyBase64: LedgerSimulation.#createBody(
        `key-${String(key)}`,
        `digest-${String(digest)}`,
      ),
    };
    void Promise.resolve(ledger.begin(request, controller.signal))
      .then((result) => {
        result.match(
          (started) => {
            this.#handleStart(ledger, request, started);
          },
          ({ executed }) => {
            if (executed === 'no') expect(this.#getSendCount(request)).toBe(0);
          },
        );
      })
      .catch((failure: unknown) => this.#failures.push(failure));
    if (cancel) controller.abort();
  }

  #handleStart(ledger: ProgramLedger, request: CallRequest, started: CallStart): void {
    const { path } = request.program;
    if (started.kind === 'join') return;
    if (started.kind === 'replay') {
      this.#returnedOutcomes.push({ path, sequence: started.sequence, outcome: started.outcome });
      return;
    }
    const { callId, sequence, reservation } = started;
    const underWay = this.#running.filter((call) => call.ledger === ledger && call.path === path);
    expect(underWay).toEqual([]);
    const name = LedgerSimulation.#toRequestName(request);
    this.#sendCounts.set(name, this.#getSendCount(request) + 1);
    if (!request.idempotent) expect(this.#sendCounts.get(name)).toBe(1);
    const { tokens } = reservation;
    this.#tokens.set(`${path.slice(0, 4)} ${callId}`, tokens);
    this.#running.push({ ledger, path, key: name, callId, sequence, tokens });
  }

  async #finish(command: Extract<Command, { kind: 'finish' }>): Promise<void> {
    const call = this.#takeRunningCall(command.pick);
    if (!call) return;
    const tokens = command.executed === 'no' ? 0 : Math.min(command.tokens, call.tokens);
    const usage = { tokens, calls: 1, spendMicros: 0 };
    const answer = { status: 200, contentType: 'text/plain', bodyBase64: call.callId };
    const { executed } = command;
    const outcome: CallOutcome =
      executed === 'yes'
        ? { kind: 'answered', answer, usage }
        : { kind: 'failed', executed, problem: 'broken', detail: '', usage };
    this.#tokens.set(`${call.path.slice(0, 4)} ${call.callId}`, tokens);
    if (executed === 'no') this.#undoSend(call);
    await this.#awaitFinish(call, call.ledger.finish(call.callId, outcome), outcome);
  }

  async #abandon(pick: number): Promise<void> {
    const call = this.#takeRunningCall(pick);
    if (!call) return;
    this.#undoSend(call);
    this.#tokens.set(`${call.path.slice(0, 4)} ${call.callId}`, 0);
    await this.#awaitFinish(call, call.ledger.abandon(call.callId), undefined);
  }

  async #awaitFinish(
    call: Dispatch,
    finished: ReturnType<ProgramLedger['finish']>,
    outcome: CallOutcome | undefined,
  ): Promise<void> {
    void finished.then((result) => {
      if (result.isErr() || outcome?.kind !== 'answered') return;
      this.#returnedOutcomes.push({ path: call.path, sequence: call.sequence, outcome });
    });
    await jest.advanceTimersByTimeAsync(0);
  }

  /** Replaces the owner; the old one may continue without noticing. */
  async #replace(drained: boolean): Promise<void> {
    const old = this.#ledger;
    if (drained) {
      void old.drain();
      this.#store.release();
      await jest.advanceTimersByTimeAsync(0);
    }
    this.#ledger = this.#restore();
  }

  #takeRunningCall(pick: number): Dispatch | undefined {
    const [call] = this.#running.splice(pick % Math.max(1, this.#running.length), 1);
    return call;
  }

  #undoSend({ key }: Dispatch): void {
    this.#sendCounts.set(key, (this.#sendCounts.get(key) ?? 0) - 1);
  }

  #getSendCount(request: CallRequest): number {
    return this.#sendCounts.get(LedgerSimulation.#toRequestName(request)) ?? 0;
  }

  /**
   * Checks that the history has each sequence once, keeps returned outcomes, and stays within the
   * budget.
   */
  #check(): void {
    expect(this.#failures).toEqual([]);
    PATHS.forEach((path) => {
      const read = this.#ledger.readProgram(LedgerSimulation.#program(path));
      if (read.isErr()) return;
      const { history, spent, left } = read.value;
      expect(history.map(({ sequence }) => sequence)).toEqual(
        history.map((_entry, index) => index),
      );
      history.forEach(({ idempotencyKey, requestDigest, sequence }) => {
        const body = LedgerSimulation.#createBody(idempotencyKey, requestDigest);
        expect(sharedBody.restore(history, sequence)).toBe(body);
      });
      const actualTokens = this.#sumTokens(path);
      expect(actualTokens).toBeLessThanOrEqual(TOKEN_LIMIT);
      expect(left.tokens).toBeLessThanOrEqual(TOKEN_LIMIT - actualTokens);
      // Intents that the store may hold count as spent, although they were never dispatched.
      if (!this.#hasBeenUnavailable) expect(spent.tokens).toBeLessThanOrEqual(TOKEN_LIMIT);
    });
    this.#returnedOutcomes.forEach(({ path, sequence, outcome }) => {
      const read = this.#ledger.readProgram(LedgerSimulation.#program(path));
      expect(read._unsafeUnwrap().history[sequence]?.outcome).toEqual(outcome);
    });
  }

  #sumTokens(path: string): number {
    const root = path.slice(0, 4);
    const spent = [...this.#tokens].filter(([name]) => name.startsWith(root));
    return spent.reduce((total, [, tokens]) => total + tokens, 0);
  }

  static #program(path: string): CallRequest['program'] {
    return { organisation: 'lahore', path };
  }

  /** Creates a body that shares a prefix with other bodies; its length depends on the key. */
  static #createBody(key: string, digest: string): string {
    const length = 200 + 100 * Number(key.slice(-1));
    return Buffer.from(`${'chat'.repeat(length)}${key}${digest}`).toString('base64');
  }

  static #toRequestName({ program, idempotencyKey, requestDigest }: CallRequest): string {
    return [program.path, idempotencyKey, requestDigest].join(' ');
  }
}

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('order, history, at-most-once execution, budgets and "not run" hold under any faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(commands, { minLength: 20, maxLength: 90 }), async (sequence) => {
      const simulation = new LedgerSimulation();
      for (const command of sequence) await simulation.apply(command);
      await simulation.end();
    }),
    { seed: 5, numRuns: 150 },
  );
}, 60_000);
