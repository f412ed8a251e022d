import { createCallerKeys, createFaultDeclarations, MODEL } from './faultDeclarations';
import { FaultFleet } from './faultFleet';

const INSTANCES = 3;
const ENGINES = 2;
const KEYS = 64;

/** Starts the fleet on which the fault matrix runs. */
export const startMatrixFleet = (): Promise<FaultFleet> =>
  FaultFleet.start({
    instances: INSTANCES,
    engines: ENGINES,
    model: MODEL,
    keys: createCallerKeys(KEYS),
    createDeclarations: createFaultDeclarations,
  });
