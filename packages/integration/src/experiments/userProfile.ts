/** An inclusive range of integers. */
export interface Range {
  readonly least: number;
  readonly most: number;
}

/** Characteristics of one kind of agent; callers do not send the kind. */
export interface AgentKind {
  readonly name: string;
  /** Share of all programs. */
  readonly share: number;
  /** Tokens of the system prompt that programs of the same organisation and agent share. */
  readonly systemTokens: number;
  /** Median number of turns. */
  readonly medianTurns: number;
  /** Sigma of the lognormal distribution of the number of turns. */
  readonly turnSpread: number;
  readonly maximumTurns: number;
  readonly inputTokens: Range;
  readonly outputTokens: Range;
  /** Median pause for a tool between two turns, in milliseconds. */
  readonly medianPauseMilliseconds: number;
  /** Probability that a turn starts sub-agents. */
  readonly subAgentProbability: number;
}

/** An organisation in an experiment. */
export interface OrganisationProfile {
  readonly name: string;
  /** Scheduling weight, proportional to the declared rate. */
  readonly weight: number;
  /** Share of the programs that start outside the flood. */
  readonly share: number;
}

/** Fleet, organisations and agents of one user. */
export interface UserProfile {
  readonly name: 'consortium' | 'authority';
  readonly engines: number;
  readonly instances: number;
  /** One-way delay between two availability zones, in milliseconds. */
  readonly zoneMilliseconds: number;
  readonly organisations: readonly OrganisationProfile[];
  readonly agents: readonly AgentKind[];
  /** Organisation that temporarily sends `floodFactor` times its base rate. */
  readonly floodingOrganisation: string;
  readonly floodFactor: number;
}

const sharedTurnLimits = { maximumTurns: 60, turnSpread: 0.7 };

const consortium: UserProfile = {
  name: 'consortium',
  engines: 6,
  instances: 4,
  zoneMilliseconds: 1,
  organisations: [
    { name: 'contractor-1', weight: 28, share: 0.28 },
    { name: 'contractor-2', weight: 24, share: 0.24 },
    { name: 'contractor-3', weight: 16, share: 0.16 },
    { name: 'contractor-4', weight: 12, share: 0.12 },
    { name: 'office-1', weight: 6, share: 0.06 },
    { name: 'office-2', weight: 6, share: 0.06 },
    { name: 'office-3', weight: 4, share: 0.04 },
    { name: 'office-4', weight: 4, share: 0.04 },
  ],
  agents: [
    {
      ...sharedTurnLimits,
      name: 'estimate',
      share: 0.75,
      systemTokens: 1_500,
      medianTurns: 4,
      inputTokens: { least: 200, most: 1_500 },
      outputTokens: { least: 40, most: 250 },
      medianPauseMilliseconds: 1_500,
      subAgentProbability: 0.02,
    },
    {
      ...sharedTurnLimits,
      name: 'survey',
      share: 0.25,
      systemTokens: 2_500,
      medianTurns: 14,
      inputTokens: { least: 200, most: 2_000 },
      outputTokens: { least: 60, most: 400 },
      medianPauseMilliseconds: 4_000,
      subAgentProbability: 0.05,
    },
  ],
  floodingOrganisation: 'contractor-3',
  floodFactor: 4,
};

const authority: UserProfile = {
  name: 'authority',
  engines: 6,
  instances: 4,
  zoneMilliseconds: 0.5,
  organisations: [
    { name: 'division-1', weight: 30, share: 0.3 },
    { name: 'division-2', weight: 22, share: 0.22 },
    { name: 'division-3', weight: 16, share: 0.16 },
    { name: 'division-4', weight: 8, share: 0.08 },
    { name: 'committee-1', weight: 8, share: 0.08 },
    { name: 'committee-2', weight: 6, share: 0.06 },
    { name: 'committee-3', weight: 5, share: 0.05 },
    { name: 'committee-4', weight: 5, share: 0.05 },
  ],
  agents: [
    {
      ...sharedTurnLimits,
      name: 'answer',
      share: 0.5,
      systemTokens: 1_200,
      medianTurns: 3,
      inputTokens: { least: 100, most: 800 },
      outputTokens: { least: 40, most: 200 },
      medianPauseMilliseconds: 1_000,
      subAgentProbability: 0.02,
    },
    {
      ...sharedTurnLimits,
      name: 'report',
      share: 0.3,
      systemTokens: 2_000,
      medianTurns: 6,
      inputTokens: { least: 300, most: 2_500 },
      outputTokens: { least: 60, most: 300 },
      medianPauseMilliseconds: 2_000,
      subAgentProbability: 0.05,
    },
    {
      ...sharedTurnLimits,
      name: 'plan',
      share: 0.2,
      systemTokens: 2_500,
      medianTurns: 12,
      inputTokens: { least: 200, most: 2_000 },
      outputTokens: { least: 80, most: 400 },
      medianPauseMilliseconds: 5_000,
      subAgentProbability: 0.06,
    },
  ],
  floodingOrganisation: 'division-3',
  floodFactor: 4,
};

/** Profiles of the two users that the experiments simulate. */
export const USER_PROFILES: Readonly<Record<UserProfile['name'], UserProfile>> = {
  consortium,
  authority,
};
