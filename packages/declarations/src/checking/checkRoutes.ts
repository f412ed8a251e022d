import type { RouteSpec } from '../schemas/route';
import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { createFault } from './createFault';
import type { ParsedObject } from './parsedObject';

type FaultDetails = Pick<Fault, 'problem' | 'message' | 'cure'>;

const findDuplicateRoutes = (table: DeclarationTable): Fault[] => {
  const seen = new Map<string, string>();
  return table.listValid('route').flatMap(({ object, spec }) =>
    [...new Set(spec.methods)].flatMap((method) => {
      const methodAndPath = `${method} ${spec.path}`;
      const first = seen.get(methodAndPath);
      if (first === undefined) {
        seen.set(methodAndPath, object.name);
        return [];
      }
      return [
        createFault(object, {
          problem: 'duplicate-route',
          message: `${methodAndPath} is already served by route/${first}`,
          cure: 'change the path or the methods of one of the two routes',
        }),
      ];
    }),
  );
};

/**
 * Returns the models of a route that no engine among its targets serves; none where a target is
 * undeclared or invalid, as its models are then unknown.
 */
const findUnservedModels = (spec: RouteSpec, table: DeclarationTable): string[] => {
  if (spec.service.kind !== 'model') return [];
  const backends = spec.targets.map((name) => table.findSpec('target', name)?.backend);
  if (backends.includes(undefined)) return [];
  const served = new Set(
    backends.flatMap((backend) => (backend?.kind === 'engine' ? backend.models : [])),
  );
  return spec.service.models.filter((model) => !served.has(model));
};

const findTargetsOfWrongKind = (spec: RouteSpec, table: DeclarationTable): string[] => {
  const expectedKind = spec.service.kind === 'model' ? 'engine' : 'service';
  return spec.targets.filter((name) => {
    const target = table.findSpec('target', name);
    return target !== undefined && target.backend.kind !== expectedKind;
  });
};

const findTargetFaults = (spec: RouteSpec, table: DeclarationTable): FaultDetails[] => {
  const targetsOfWrongKind = findTargetsOfWrongKind(spec, table);
  const unservedModels = findUnservedModels(spec, table);
  const expectedKind = spec.service.kind === 'model' ? 'engine' : 'service';
  if (targetsOfWrongKind.length > 0) {
    return [
      {
        problem: 'unreachable-route',
        message: `spec.targets must be of kind ${expectedKind}; targets of another kind: ${targetsOfWrongKind.join(', ')}`,
        cure: `list targets whose backend is of kind ${expectedKind}`,
      },
    ];
  }
  if (unservedModels.length === 0) return [];
  return [
    {
      problem: 'unreachable-route',
      message: `no target of the route serves the models ${unservedModels.join(', ')}`,
      cure: 'add a target that serves them, or remove them from spec.service.models',
    },
  ];
};

const findDeadlineFaults = (spec: RouteSpec): FaultDetails[] =>
  spec.progressDeadlineSeconds <= spec.deadlineSeconds
    ? []
    : [
        {
          problem: 'impossible-limit',
          message: `spec.progressDeadlineSeconds ${spec.progressDeadlineSeconds} exceeds spec.deadlineSeconds ${spec.deadlineSeconds}`,
          cure: 'lower spec.progressDeadlineSeconds, or raise spec.deadlineSeconds',
        },
      ];

const checkRoute = (object: ParsedObject, spec: RouteSpec, table: DeclarationTable): Fault[] =>
  [...findTargetFaults(spec, table), ...findDeadlineFaults(spec)].map((details) =>
    createFault(object, details),
  );

/**
 * Reports routes with the same method and path, routes that their targets can't serve, and progress
 * deadlines that exceed the deadline of the call.
 */
export const checkRoutes = (table: DeclarationTable): Fault[] => [
  ...findDuplicateRoutes(table),
  ...table.listValid('route').flatMap(({ object, spec }) => checkRoute(object, spec, table)),
];
