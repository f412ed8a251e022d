import type { Declaration } from '@limpetnotch/declarations';
import { declarationSchema } from '@limpetnotch/declarations';
import type { CallerKey, TargetAddresses } from '../faults/faultDeclarations';
import {
  engineNames,
  keyDeclarations,
  routeDeclarations,
  targetDeclarations,
} from '../faults/faultDeclarations';

const ORGANISATIONS = 8;
const KEYS_EACH = 3;
const LARGE_ORGANISATIONS = 2;

/** Organisation that sends more than its rate allows. */
export const FLOODING_ORGANISATION = 'organisation-8';
/** Rate of that organisation, in requests a second, and its burst. */
export const FLOODING_RATE = { requestsPerSecond: 4, burst: 8 };
/** Rate of the others, which they stay within. */
const ORDINARY_RATE = { requestsPerSecond: 500, burst: 500 };
/** Calls that one program may make. */
export const PROGRAM_CALLS = 24;

/** Names of the organisations, the large ones first. */
export const soakOrganisations = (): readonly string[] =>
  Array.from({ length: ORGANISATIONS }, (_, index) => `organisation-${index + 1}`);

/** Returns an organisation's share of the load, in programs a second. */
export const programsPerSecond = (organisation: string): number => {
  const place = soakOrganisations().indexOf(organisation);
  return place < LARGE_ORGANISATIONS ? 0.6 : 0.15;
};

/** Keys of all organisations, a few each, of which some are withdrawn on the way. */
export const soakKeys = (): readonly CallerKey[] =>
  soakOrganisations().flatMap((organisation) =>
    Array.from({ length: KEYS_EACH }, (_, index) => ({
      name: `${organisation}-key-${index}`,
      organisation,
      secret: `secret-of-${organisation}-${index}-c91e`,
    })),
  );

/** Builds the declarations of a soak. */
export const soakDeclarations = (
  addresses: TargetAddresses,
  keys: readonly CallerKey[],
  withdrawn: ReadonlySet<string>,
): readonly Declaration[] => {
  const organisations = soakOrganisations().map((name) => ({
    kind: 'organisation',
    name,
    spec: {
      rate: name === FLOODING_ORGANISATION ? FLOODING_RATE : ORDINARY_RATE,
      budget: 'program',
    },
  }));
  const budget = { kind: 'budget', name: 'program', spec: { calls: PROGRAM_CALLS } };
  const declared = [
    budget,
    ...organisations,
    ...keyDeclarations(keys, withdrawn),
    ...targetDeclarations(addresses),
    ...routeDeclarations(engineNames(addresses)),
  ];
  return declared.map((declaration) => declarationSchema.parse(declaration));
};
