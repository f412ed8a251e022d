import type { RouteSpec } from '../schemas/route';
import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { faultAt } from './faultAt';
import type { ParsedObject } from './parsedObject';

type RouteFault = Pick<Fault, 'problem' | 'message' | 'cure'>;

const duplicateFaults = (table: DeclarationTable): Fault[] => {
  const seen = new Map<string, string>();
  return table.checked('route').flatMap(({ object, spec }) =>
    [...new Set(spec.methods)].flatMap((method) => {
      const place = `${method} ${spec.path}`;
      const first = seen.get(place);
      if (first === undefined) {
        seen.set(place, object.name);
        return [];
      }
      return [
        faultAt(object, {
          problem: 'duplicate-route',
          message: `${place} is served by route/${first} already`,
          cure: 'change the path or the methods of one of the two',
        }),
      ];
    }),
  );
};

/** Models that a route names and no engine of its targets serves; unchecked targets excuse it. */
const missingModels = (spec: RouteSpec, table: DeclarationTable): string[] => {
  if (spec.service.kind !== 'model') return [];
  const backends = spec.targets.map((name) => table.spec('target', name)?.backend);
  if (backends.includes(undefined)) return [];
  const served = new Set(
    backends.flatMap((backend) => (backend?.kind === 'engine' ? backend.models : [])),
  );
  return spec.service.models.filter((model) => !served.has(model));
};

const wrongTargets = (spec: RouteSpec, table: DeclarationTable): string[] => {
  const wanted = spec.service.kind === 'model' ? 'engine' : 'service';
  return spec.targets.filter((name) => {
    const target = table.spec('target', name);
    return target !== undefined && target.backend.kind !== wanted;
  });
};

const targetFault = (spec: RouteSpec, table: DeclarationTable): RouteFault[] => {
  const wrong = wrongTargets(spec, table);
  const models = missingModels(spec, table);
  const kind = spec.service.kind === 'model' ? 'engine' : 'service';
  if (wrong.length > 0) {
    return [
      {
        problem: 'unreachable-route',
        message: `spec.targets must be of kind ${kind}; these are not: ${wrong.join(', ')}`,
        cure: `name targets whose backend is of kind ${kind}`,
      },
    ];
  }
  if (models.length === 0) return [];
  return [
    {
      problem: 'unreachable-route',
      message: `no target of the route serves the models ${models.join(', ')}`,
      cure: 'add a target that serves them, or remove them from spec.service.models',
    },
  ];
};

const deadlineFault = (spec: RouteSpec): RouteFault[] =>
  spec.progressDeadlineSeconds <= spec.deadlineSeconds
    ? []
    : [
        {
          problem: 'impossible-limit',
          message: `spec.progressDeadlineSeconds ${spec.progressDeadlineSeconds} is above spec.deadlineSeconds ${spec.deadlineSeconds}`,
          cure: 'lower spec.progressDeadlineSeconds, or raise spec.deadlineSeconds',
        },
      ];

const ownFaults = (object: ParsedObject, spec: RouteSpec, table: DeclarationTable): Fault[] =>
  [...targetFault(spec, table), ...deadlineFault(spec)].map((text) => faultAt(object, text));

/** Finds routes of the same place, routes that no target can serve, and deadlines that clash. */
export const checkRoutes = (table: DeclarationTable): Fault[] => [
  ...duplicateFaults(table),
  ...table.checked('route').flatMap(({ object, spec }) => ownFaults(object, spec, table)),
];
