import type { Declaration } from '@limpetnotch/declarations';
import { declarationSchema } from '@limpetnotch/declarations';
import type { CallerKey, TargetAddresses } from '../faults/faultDeclarations';
import {
  getEngineNames,
  createKeyDeclarations,
  createRouteDeclarations,
  createTargetDeclarations,
} from '../faults/faultDeclarations';

const ORGANISATIONS = 8;
const KEYS_PER_ORGANISATION = 3;
const LARGE_ORGANISATIONS = 2;

/** Organisation that exceeds its rate limit. */
export const FLOODING_ORGANISATION = 'organisation-8';
/** Rate limit of that organisation. */
export const FLOODING_RATE = { requestsPerSecond: 4, burst: 8 };
/** Rate limit of the others, which they don't reach. */
const ORDINARY_RATE = { requestsPerSecond: 500, burst: 500 };
/** Call budget of a program. */
export const CALL_BUDGET = 24;

/** Returns the names of the organisations, the large ones first. */
export const getSoakOrganisations = (): readonly string[] =>
  Array.from({ length: ORGANISATIONS }, (_, index) => `organisation-${index + 1}`);

/** Returns an organisation's load, in programs per second. */
export const getProgramsPerSecond = (organisation: string): number => {
  const index = getSoakOrganisations().indexOf(organisation);
  return index < LARGE_ORGANISATIONS ? 0.6 : 0.15;
};

/** Creates several keys for each organisation; some are withdrawn during the soak. */
export const createSoakKeys = (): readonly CallerKey[] =>
  getSoakOrganisations().flatMap((organisation) =>
    Array.from({ length: KEYS_PER_ORGANISATION }, (_, index) => ({
      name: `${organisation}-key-${index}`,
      organisation,
      secret: `secret-of-${organisation}-${index}-c91e`,
    })),
  );

/** Builds the declarations of a soak. */
export const createSoakDeclarations = (
  addresses: TargetAddresses,
  keys: readonly CallerKey[],
  withdrawn: ReadonlySet<string>,
): readonly Declaration[] => {
  const organisations = getSoakOrganisations().map((name) => ({
    kind: 'organisation',
    name,
    spec: {
      rate: name === FLOODING_ORGANISATION ? FLOODING_RATE : ORDINARY_RATE,
      budget: 'program',
    },
  }));
  const budget = { kind: 'budget', name: 'program', spec: { calls: CALL_BUDGET } };
  const declared = [
    budget,
    ...organisations,
    ...createKeyDeclarations(keys, withdrawn),
    ...createTargetDeclarations(addresses),
    ...createRouteDeclarations(getEngineNames(addresses)),
  ];
  return declared.map((declaration) => declarationSchema.parse(declaration));
};
