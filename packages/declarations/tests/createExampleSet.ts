import { checkDeclarations, parseDeclarations } from '../src';
import type { Configuration } from '../src';

/** Returns the text of a small valid set; the weight of the organisation distinguishes sets. */
export const createExampleText = (weight = 1): string => `kind: organisation
name: amman
spec:
  weight: ${weight}
  rate: { requestsPerSecond: 10, burst: 20 }
  budget: survey
---
kind: key
name: amman-office
spec:
  organisation: amman
  digest: sha256:${'a'.repeat(64)}
---
kind: target
name: engine-1
spec:
  address: http://127.0.0.1:9101
  availabilityZone: a
  backend: { kind: engine, models: [estimate] }
---
kind: route
name: chat
spec:
  path: /v1/chat/completions
  service: { kind: model, models: [estimate] }
  targets: [engine-1]
  idempotent: true
---
kind: budget
name: survey
spec: { tokens: 1000 }
`;

/** Returns the configuration of that set. */
export const createExampleSet = (weight = 1): Configuration =>
  checkDeclarations(
    parseDeclarations([{ path: 'set.yaml', text: createExampleText(weight) }]),
  )._unsafeUnwrap();
