interface OrganisationAccount {
  /** Service received divided by the weight, in tokens. */
  virtualTime: number;
  waitingCalls: number;
}

/**
 * Service received by each organisation as virtual time, by start-time fair queueing with service
 * in tokens. The system's virtual time is that of the organisation served last. An organisation
 * whose queue was empty starts no earlier than there, so it earns no credit while it asks for less
 * than its share, and the use of idle capacity is not held against it.
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

  /** Number of organisations whose state is kept. */
  get size(): number {
    return this.#accounts.size;
  }

  setWeights(weights: ReadonlyMap<string, number>): void {
    this.#weights = weights;
  }

  /** Counts one more call that waits. */
  enter(organisation: string): void {
    const account = this.#account(organisation);
    if (account.waitingCalls === 0) this.#start(organisation, account);
    account.waitingCalls += 1;
  }

  /** Counts a waiting call that is served now. */
  serve(organisation: string): void {
    const account = this.#account(organisation);
    this.#systemTime = Math.max(this.#systemTime, account.virtualTime);
    this.leave(organisation);
  }

  /** Counts one waiting call less; an organisation that is not ahead is forgotten. */
  leave(organisation: string): void {
    const account = this.#account(organisation);
    account.waitingCalls = Math.max(0, account.waitingCalls - 1);
    this.#forgetIfNotAhead(organisation, account);
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
    return this.#accounts.get(organisation)?.virtualTime ?? this.#systemTime;
  }

  #charge(organisation: string, tokens: number): void {
    const account = this.#account(organisation);
    account.virtualTime += tokens / this.#weight(organisation);
    this.#forgetIfNotAhead(organisation, account);
  }

  #start(organisation: string, account: OrganisationAccount): void {
    const lead = this.#maximumLeadTokens / this.#weight(organisation);
    const capped = Math.min(account.virtualTime, this.#systemTime + lead);
    Object.assign(account, { virtualTime: Math.max(capped, this.#systemTime) });
  }

  #weight(organisation: string): number {
    return this.#weights.get(organisation) ?? 1;
  }

  #forgetIfNotAhead(organisation: string, account: OrganisationAccount): void {
    if (account.waitingCalls > 0 || account.virtualTime > this.#systemTime) return;
    this.#accounts.delete(organisation);
  }

  #account(organisation: string): OrganisationAccount {
    const known = this.#accounts.get(organisation);
    if (known) return known;
    const account = { virtualTime: this.#systemTime, waitingCalls: 0 };
    this.#accounts.set(organisation, account);
    return account;
  }
}
