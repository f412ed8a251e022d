import type { Logger, Metrics } from '@limpetnotch/observability';
import type { Turn, TurnKey } from '@limpetnotch/peer-protocol';
import type { TurnLog } from '@limpetnotch/turn-log';
import { countCopies } from '../decisions/countCopies';
import { isRepairConclusive } from '../decisions/isRepairConclusive';
import type { ToleratedLosses } from '../decisions/toleratedLosses';
import { isProcess } from './isProcess';
import { CopyCounts } from './copyCounts';
import type { Completeness } from './completeness';
import { HolderTable } from './holderTable';
import { Pace } from './pace';
import type { StorageView, ViewedInstance } from './storageView';
import { toAbsenceKey } from './storageView';
import type { TurnClients } from './turnClients';

/** Part of the network of a storage machine (600 Mbit/s) that repair may use. */
const BYTES_PER_SECOND = 8 * 1024 * 1024;

const LIST_MILLISECONDS = 1_500;

const READ_MILLISECONDS = 4_000;

/** Turns that are requested in one call. */
const KEYS_PER_CALL = 200;

/** Parents that are looked for in one round. */
const PARENTS_PER_ROUND = 100;

/** Parts of a {@link Repair}. */
export interface RepairParts {
  /** Name of this instance. */
  readonly instance: string;
  readonly log: TurnLog;
  readonly view: StorageView;
  readonly clients: TurnClients;
  readonly completeness: Completeness;
  readonly toleratedLosses: ToleratedLosses;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const countBytes = (turns: readonly Turn[]): number =>
  turns.reduce((sum, { input, output }) => sum + input.length + output.length, 0);

const toText = ({ organisation, id }: { readonly organisation: string; readonly id: string }) =>
  JSON.stringify([organisation, id]);

const describeInstances = (instances: readonly ViewedInstance[]): string =>
  JSON.stringify(
    instances.map(({ name, address, incarnation, state }) => [name, address, incarnation, state]),
  );

/**
 * Fetches the turns that this instance should hold from the other instances. After a change of the
 * list of instances it reads the complete lists of their turns, and otherwise what was added since.
 */
export class Repair {
  readonly #parts: RepairParts;

  readonly #pace = new Pace(BYTES_PER_SECOND);

  /** Last complete page that was read from each instance, by its incarnation. */
  readonly #cursors = new Map<string, string>();

  #description = '';

  #holders: HolderTable | undefined;

  #repairedWithout: readonly string[] = [];

  constructor(parts: RepairParts) {
    this.#parts = parts;
  }

  /** Absences without which a conclusive repair has ended. */
  get repairedWithout(): readonly string[] {
    return this.#repairedWithout;
  }

  /** Asks all other instances once; resolves to whether all of them answered. */
  async runRound(): Promise<boolean> {
    const { view, toleratedLosses, instance, completeness } = this.#parts;
    const instances = view.listCounted();
    const absent = view.listAbsent();
    const description = describeInstances(instances);
    if (description !== this.#description) this.#restart(description, instances);
    const others = instances.filter(({ name }) => name !== instance);
    const { losses: lossesAtStart } = completeness;
    const counts = completeness.hasLost ? new CopyCounts() : undefined;
    // Copies are counted from complete lists.
    if (counts) this.#cursors.clear();
    const answers = await Promise.all(others.map((other) => this.#poll(other, counts)));
    if (!(await this.#fetchWithFewCopies(counts))) return false;
    const hasParents = await this.#fetchMissingParents(others);
    const current = view.listCounted();
    const isCurrent = describeInstances(current) === description;
    const isPresent = others.length < instances.length;
    // Turns that were lost during the round may have been skipped as present.
    const hasNewLoss = completeness.losses !== lossesAtStart;
    if (!answers.every(Boolean) || !hasParents || !isCurrent || !isPresent || hasNewLoss) {
      return false;
    }
    const losses = new Set(
      [...instances, ...current].filter(({ hasLost }) => hasLost).map(({ name }) => name),
    );
    if (completeness.hasLost) losses.add(instance);
    else losses.delete(instance);
    const isConclusive = isRepairConclusive({
      serving: instances.filter(({ state }) => state === 'serving').length,
      absent: absent.filter(({ revision, isForgotten }) => revision > 0 && !isForgotten).length,
      lost: losses.size,
      toleratedLosses,
    });
    completeness.recordRepair(isConclusive);
    this.#repairedWithout = isConclusive ? absent.map((one) => toAbsenceKey(one, instances)) : [];
    return true;
  }

  #restart(description: string, instances: readonly ViewedInstance[]): void {
    this.#description = description;
    this.#cursors.clear();
    this.#repairedWithout = [];
    this.#holders = new HolderTable(instances, this.#parts.toleratedLosses);
    this.#parts.logger.info('storage.repair-started', { instances: instances.length });
  }

  /** Fetches from one instance; returns whether it answered and everything was stored. */
  async #poll(
    { name, address, incarnation }: ViewedInstance,
    counts: CopyCounts | undefined,
  ): Promise<boolean> {
    const { clients, metrics } = this.#parts;
    const client = clients.to(address);
    const position = `${name}/${incarnation}`;
    try {
      for (;;) {
        const cursor = this.#cursors.get(position) ?? '';
        const page = await client.listTurns({ cursor }, { timeoutMs: LIST_MILLISECONDS });
        counts?.add(address, page.keys);
        const wanted = page.keys.filter((key) => this.#isWanted(key));
        if (wanted.length > 0 && !(await this.#fetch(address, wanted))) return false;
        if (page.nextCursor === '') return await isProcess(client, incarnation);
        this.#cursors.set(position, page.nextCursor);
      }
    } catch (error) {
      metrics.increment('storage.repair-failures', 1, { instance: name });
      this.#parts.logger.debug('storage.repair-failed', {
        instance: name,
        detail: error instanceof Error ? error.message : String(error),
      });
      return false;
    }
  }

  /**
   * After a loss, fetches the turns of which the others have too few copies: this instance may have held
   * one of them although it is not among the holders.
   */
  async #fetchWithFewCopies(counts: CopyCounts | undefined): Promise<boolean> {
    if (!counts) return true;
    const { log, toleratedLosses } = this.#parts;
    const few = counts.listFewerThan(countCopies(toleratedLosses));
    try {
      for (const [address, keys] of few) {
        const missing = keys.filter(({ organisation, id }) => !log.has(organisation, id));
        if (!(await this.#fetch(address, missing))) return false;
      }
      return true;
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.#parts.logger.debug('storage.repair-failed', { detail });
      return false;
    }
  }

  #isWanted(key: TurnKey): boolean {
    const { log, instance } = this.#parts;
    return !log.has(key.organisation, key.id) && (this.#holders?.isHolder(instance, key) ?? false);
  }

  /** Fetches turns; those that the other instance does not return have expired there. */
  async #fetch(address: string, keys: readonly TurnKey[]): Promise<boolean> {
    const client = this.#parts.clients.to(address);
    let remaining = keys;
    while (remaining.length > 0) {
      const requested = remaining.slice(0, KEYS_PER_CALL);
      const turns = await this.#pace.run(async () => {
        const response = await client.readTurns(
          { keys: [...requested] },
          { timeoutMs: READ_MILLISECONDS },
        );
        return { value: response.turns, bytes: countBytes(response.turns) };
      });
      if (!(await this.#store(turns))) return false;
      const returned = new Set(turns.map(toText));
      const rest = remaining.filter((key) => !returned.has(toText(key)));
      remaining = rest.length < remaining.length ? rest : remaining.slice(requested.length);
    }
    return true;
  }

  async #store(turns: readonly Turn[]): Promise<boolean> {
    const { log, metrics } = this.#parts;
    const results = await Promise.all(turns.map((turn) => log.append(turn)));
    metrics.increment('storage.turns-fetched', turns.length);
    return results.every((result) => result.isOk());
  }

  /**
   * Fetches the ancestors of turns that are held here, whether or not this instance should hold them:
   * otherwise they would expire elsewhere while a turn that continues them lives here.
   */
  async #fetchMissingParents(others: readonly ViewedInstance[]): Promise<boolean> {
    const { log, view } = this.#parts;
    let haveAllAnswered = true;
    for (const [organisation, id] of log.missingParents.slice(0, PARENTS_PER_ROUND)) {
      let answers = 0;
      for (const { address } of others) {
        if (!log.has(organisation, id) && (await this.#fetchChain(address, organisation, id))) {
          answers += 1;
        }
      }
      const isMissing = !log.has(organisation, id);
      if (isMissing && answers < others.length) haveAllAnswered = false;
      else if (isMissing && view.listAbsent().length === 0) {
        log.forgetMissingParent(organisation, id);
      }
    }
    return haveAllAnswered;
  }

  /** Fetches a turn and its ancestors; returns whether the instance answered. */
  async #fetchChain(address: string, organisation: string, id: string): Promise<boolean> {
    const client = this.#parts.clients.to(address);
    try {
      const turns = await this.#pace.run(async () => {
        const response = await client.readChain(
          { organisation, id },
          { timeoutMs: READ_MILLISECONDS },
        );
        return { value: response.turns, bytes: countBytes(response.turns) };
      });
      return await this.#store(turns);
    } catch {
      this.#parts.metrics.increment('storage.repair-failures', 1, { instance: address });
      return false;
    }
  }
}
