import type { OrganisationDemand, ProgramLoad } from '@limpetnotch/admission';
import { admitProgram } from '@limpetnotch/admission';
import type { OrganisationRate } from './organisationRate';
import type { PeerDemand, ProgramAdmission, QuotaPeers } from './quotaPeers';
import type { TokenTaker } from './tokenTaker';

/**
 * Share of unspent tokens on this instance below which the other instances are queried before a
 * program starts.
 */
const NEAR_RATE_UNSPENT_SHARE = 0.6;

/**
 * Share of the rate that all programs may need, extrapolated from those admitted here, before the
 * other instances are queried.
 */
const NEAR_RATE_DEMAND_SHARE = 0.5;

/** Holders that are asked to decide on a program; each that doesn't respond costs its deadline. */
const ASKED_HOLDERS = 2;

type Decision = Pick<ProgramAdmission, 'decision' | 'demand'>;

const ADMITTED: Decision = { decision: { kind: 'admitted' }, demand: undefined };

/** Parts of {@link ProgramAdmissions}. */
export interface ProgramAdmissionsParts {
  readonly peers: QuotaPeers;
  readonly instance: string;
  readonly windowSeconds: () => number;
  readonly load: ProgramLoad;
  readonly tokens: TokenTaker;
  /** Whether a program that is registered on no instance started before a restart. */
  readonly hasProgramStarted: (programKey: string) => Promise<boolean>;
}

/** A program that seems to start. */
export interface StartingProgram {
  readonly key: string;
  readonly expectedMilliseconds: number;
}

/**
 * Decides whether programs may start, so that those under way can finish. Load pattern: programs of
 * an organisation that need more than its rate, spread unevenly over the instances.
 */
export class ProgramAdmissions {
  readonly #parts: ProgramAdmissionsParts;

  constructor(parts: ProgramAdmissionsParts) {
    this.#parts = parts;
  }

  /** Decides on a program that seems to start here. */
  async admit(entry: OrganisationRate, program: StartingProgram): Promise<Decision> {
    const { chosenHolders } = entry;
    if (!chosenHolders) return this.decide(entry, program.key);
    for (const name of chosenHolders.slice(0, ASKED_HOLDERS)) {
      const admission =
        name === this.#parts.instance
          ? await this.decideAsHolder(entry, program)
          : await this.#askHolder(name, entry, program);
      if (admission) return admission;
    }
    return ADMITTED;
  }

  /** Decides on a program for all instances, and counts it if it is admitted. */
  async decideAsHolder(entry: OrganisationRate, program: StartingProgram): Promise<Decision> {
    const decided = await this.decide(entry, program.key);
    if (decided.decision.kind === 'admitted') entry.programs.add(program.expectedMilliseconds);
    return decided;
  }

  /** Decides by the views of the instances that hold parts of the rate. */
  async decide(entry: OrganisationRate, programKey: string): Promise<Decision> {
    if (!this.#mayBeNearRate(entry)) return ADMITTED;
    const { peers, instance, hasProgramStarted } = this.#parts;
    const { name } = entry.organisation;
    const others = entry.chosenHolders?.filter((holder) => holder !== instance);
    const responses = await peers.describeDemand(name, programKey, others);
    if (responses.some(({ isProgramKnown }) => isProgramKnown)) return ADMITTED;
    const demand = this.#computeDemand(entry, responses);
    const decision = admitProgram(demand);
    if (decision.kind === 'admitted' || (await hasProgramStarted(programKey))) return ADMITTED;
    return { decision, demand };
  }

  /** Has a holder decide, which gives the first tokens as well. */
  async #askHolder(
    name: string,
    entry: OrganisationRate,
    { key, expectedMilliseconds }: StartingProgram,
  ): Promise<ProgramAdmission | undefined> {
    const { peers, tokens } = this.#parts;
    const wanted = entry.rate.tokens >= 1 ? { wanted: 0, ahead: 0 } : tokens.computeWanted(entry);
    const admission = await peers.admitProgram(name, {
      organisation: entry.organisation.name,
      program: key,
      expectedMilliseconds,
      ...wanted,
    });
    if (admission) tokens.receive(entry, admission.tokens);
    return admission;
  }

  /** Whether the organisation may be near its rate, judged by this instance's view alone. */
  #mayBeNearRate(entry: OrganisationRate): boolean {
    const { rate, programs, chosenHolders, holders } = entry;
    if (rate.unspentFraction < NEAR_RATE_UNSPENT_SHARE) return true;
    // A chosen holder counts the programs of all instances.
    const countingInstances = chosenHolders ? 1 : holders;
    const demand = programs.count * countingInstances * this.#parts.load.requestsPerProgramSecond;
    return demand > this.#tokensPerSecond(entry) * NEAR_RATE_DEMAND_SHARE;
  }

  #computeDemand(entry: OrganisationRate, responses: readonly PeerDemand[]): OrganisationDemand {
    const { rate, programs, holders } = entry;
    // Tokens held by an instance that doesn't respond can't be spent.
    const reachablePart = Math.min(1, (1 + responses.length) / Math.max(1, holders));
    const tokensPerSecond = this.#tokensPerSecond(entry) * reachablePart;
    return {
      programs: responses.reduce((sum, response) => sum + response.programs, programs.count),
      unspentTokens: responses.reduce(
        (sum, response) => sum + response.unspentTokens,
        rate.unspentTokens,
      ),
      windowTokens: tokensPerSecond * this.#parts.windowSeconds(),
      tokensPerSecond,
      requestsPerProgramSecond: this.#parts.load.requestsPerProgramSecond,
    };
  }

  #tokensPerSecond({ organisation: { rate } }: OrganisationRate): number {
    return (rate?.perSecond ?? 0) + (rate?.burst ?? 0) / this.#parts.windowSeconds();
  }
}
