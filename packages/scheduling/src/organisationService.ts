interface OrganisationAccount {
  /** Service received divided by the weight, in tokens. */
  virtualTime: number;
  waitingCalls: number;
}

/**
 * Tracks the service received by each organisation as virtual time, using start-time fair queueing
 * with service in tokens. The system's virtual time is that of the organisation served last. An
 * organisation whose queue was empty starts no earlier than the system's virtual time, so it earns
 * no credit while it requests less than its share, and using idle capacity does not penalise it.
 */
export class OrganisationService {
  readonly #accounts = new Map<string, OrganisationAccount>();

  readonly #unreported = new Map<string, number>();

  readonly #maximumLeadTokens: number;

  #weights: ReadonlyMap<string, number> = new Map();

  #systemTime = 0;

  constructor(maximumLeadTokens: number) {
    this.#maximumLeadTokens = maximumLeadTokens;
  }

  /** Number of tracked organisations. */
  get size(): number {
    return this.#accounts.size;
  }

  setWeights(weights: ReadonlyMap<string, number>): void {
    this.#weights = weights;
  }

  /** Adds a waiting call. */
  addWaitingCall(organisation: string): void {
    const account = this.#getOrCreateAccount(organisation);
    if (account.waitingCalls === 0) this.#start(organisation, account);
    account.waitingCalls += 1;
  }

  /** Removes a waiting call that is served now, and advances the system's virtual time. */
  serveWaitingCall(organisation: string): void {
    const account = this.#getOrCreateAccount(organisation);
    this.#systemTime = Math.max(this.#systemTime, account.virtualTime);
    this.removeWaitingCall(organisation);
  }

  /** Removes a waiting call; evicts an idle organisation whose virtual time is not ahead. */
  removeWaitingCall(organisation: string): void {
    const account = this.#getOrCreateAccount(organisation);
    account.waitingCalls = Math.max(0, account.waitingCalls - 1);
    this.#evictIfNotAhead(organisation, account);
  }

  /** Charges service provided by this instance; a negative amount corrects an estimate. */
  chargeLocal(organisation: string, tokens: number): void {
    this.#charge(organisation, tokens);
    this.#unreported.set(organisation, (this.#unreported.get(organisation) ?? 0) + tokens);
  }

  /** Charges service provided by other instances. */
  chargeRemote(organisation: string, tokens: number): void {
    this.#charge(organisation, tokens);
  }

  /** Returns the tokens of service provided here since the last call, and resets the count. */
  takeUnreported(organisation: string): number {
    const tokens = Math.max(0, this.#unreported.get(organisation) ?? 0);
    this.#unreported.delete(organisation);
    return Math.round(tokens);
  }

  virtualTime(organisation: string): number {
    return this.#accounts.get(organisation)?.virtualTime ?? this.#systemTime;
  }

  #charge(organisation: string, tokens: number): void {
    const account = this.#getOrCreateAccount(organisation);
    account.virtualTime += tokens / this.#weight(organisation);
    this.#evictIfNotAhead(organisation, account);
  }

  #start(organisation: string, account: OrganisationAccount): void {
    const lead = this.#maximumLeadTokens / this.#weight(organisation);
    const capped = Math.min(account.virtualTime, this.#systemTime + lead);
    Object.assign(account, { virtualTime: Math.max(capped, this.#systemTime) });
  }

  #weight(organisation: string): number {
    return this.#weights.get(organisation) ?? 1;
  }

  #evictIfNotAhead(organisation: string, account: OrganisationAccount): void {
    if (account.waitingCalls > 0 || account.virtualTime > this.#systemTime) return;
    this.#accounts.delete(organisation);
  }

  #getOrCreateAccount(organisation: string): OrganisationAccount {
    const existing = this.#accounts.get(organisation);
    if (existing) return existing;
    const account = { virtualTime: this.#systemTime, waitingCalls: 0 };
    this.#accounts.set(organisation, account);
    return account;
  }
}
