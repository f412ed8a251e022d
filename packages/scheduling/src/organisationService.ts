interface OrganisationAccount {
  /** Service received divided by the weight, in tokens. */
  virtualTime: number;
  /** Calls that wait or run. */
  activeCalls: number;
}

/**
 * Service received by each organisation, as virtual time of a weighted fair queue (after the
 * virtual token counter, with service in tokens). An organisation that becomes active starts at
 * the least virtual time of the active ones, so that idle time earns no credit.
 */
export class OrganisationService {
  readonly #accounts = new Map<string, OrganisationAccount>();

  readonly #unreported = new Map<string, number>();

  readonly #maximumLeadTokens: number;

  #weights: ReadonlyMap<string, number> = new Map();

  /** Virtual time that an organisation cannot be behind when it becomes active. */
  #floor = 0;

  constructor(maximumLeadTokens: number) {
    this.#maximumLeadTokens = maximumLeadTokens;
  }

  /** Number of organisations whose state is kept. */
  get size(): number {
    return this.#accounts.size;
  }

  setWeights(weights: ReadonlyMap<string, number>): void {
    this.#weights = weights;
  }

  /** Counts one more call that waits or runs. */
  enter(organisation: string): void {
    const account = this.#account(organisation);
    if (account.activeCalls === 0) this.#activate(account);
    account.activeCalls += 1;
  }

  /** Counts one call less; a balanced idle organisation is forgotten. */
  leave(organisation: string): void {
    const account = this.#account(organisation);
    account.activeCalls = Math.max(0, account.activeCalls - 1);
    this.#raiseFloor();
    this.#forgetIfBalanced(organisation, account);
  }

  /** Adds service given by this instance; a negative amount corrects an estimate. */
  chargeLocal(organisation: string, tokens: number): void {
    this.#charge(organisation, tokens);
    this.#unreported.set(organisation, (this.#unreported.get(organisation) ?? 0) + tokens);
  }

  /** Adds service given by other instances. */
  chargeRemote(organisation: string, tokens: number): void {
    this.#charge(organisation, tokens);
  }

  /** Returns the service given here since the last call of this method, and starts anew. */
  takeUnreported(organisation: string): number {
    const tokens = Math.max(0, this.#unreported.get(organisation) ?? 0);
    this.#unreported.delete(organisation);
    return Math.round(tokens);
  }

  virtualTime(organisation: string): number {
    return this.#accounts.get(organisation)?.virtualTime ?? this.#floor;
  }

  #charge(organisation: string, tokens: number): void {
    const account = this.#account(organisation);
    account.virtualTime += tokens / (this.#weights.get(organisation) ?? 1);
    this.#raiseFloor();
    if (account.activeCalls === 0) this.#forgetIfBalanced(organisation, account);
  }

  #activate(account: OrganisationAccount): void {
    const least = this.#leastActive() ?? this.#floor;
    const capped = Math.min(account.virtualTime, least + this.#maximumLeadTokens);
    Object.assign(account, { virtualTime: Math.max(capped, least) });
  }

  #raiseFloor(): void {
    this.#floor = Math.max(this.#floor, this.#leastActive() ?? this.#floor);
  }

  #leastActive(): number | undefined {
    let least: number | undefined;
    this.#accounts.forEach(({ activeCalls, virtualTime }) => {
      if (activeCalls > 0 && (least === undefined || virtualTime < least)) least = virtualTime;
    });
    return least;
  }

  #forgetIfBalanced(organisation: string, account: OrganisationAccount): void {
    if (account.activeCalls > 0 || account.virtualTime > this.#floor) return;
    this.#accounts.delete(organisation);
  }

  #account(organisation: string): OrganisationAccount {
    const known = this.#accounts.get(organisation);
    if (known) return known;
    const account = { virtualTime: this.#floor, activeCalls: 0 };
    this.#accounts.set(organisation, account);
    return account;
  }
}
