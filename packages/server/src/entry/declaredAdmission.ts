import type { AdmissionError, KeyIdentity, NamedRoute } from '@limpetnotch/admission';
import { extractCredential, KeyRing, RouteTable, stripCredentials } from '@limpetnotch/admission';
import type { Configuration } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import { toAdmissionProblem } from './toAdmissionProblem';
import type { Admission, AdmittedCall, Caller } from './admittedCall';
import type { CallerRequest } from './callerRequest';

/** Keys and routes of a configuration, indexed for admission. */
interface DeclaredAccess {
  readonly configuration: Configuration;
  readonly keys: KeyRing;
  readonly routes: RouteTable;
}

const prepareAccess = (configuration: Configuration): DeclaredAccess => ({
  configuration,
  keys: new KeyRing(configuration),
  routes: new RouteTable(configuration),
});

/** Admits requests by the declared keys and routes. */
export class DeclaredAdmission implements Admission {
  readonly #getConfiguration: () => Configuration;

  #access: DeclaredAccess;

  /** @param getConfiguration - Returns the configuration in force. */
  constructor(getConfiguration: () => Configuration) {
    this.#getConfiguration = getConfiguration;
    this.#access = prepareAccess(getConfiguration());
  }

  admit(request: CallerRequest): Result<AdmittedCall, Problem> {
    const secret = extractCredential(request.rawHeaders, request.pathAndQuery);
    if (secret.isErr()) return err(toAdmissionProblem(secret.error));
    return this.#admit(request, secret.value).mapErr(toAdmissionProblem);
  }

  identify(rawHeaders: readonly string[]): Result<Caller, Problem> {
    return extractCredential(rawHeaders, '/')
      .andThen((secret) => this.#authenticate(secret))
      .map((identity): Caller => ({ kind: 'organisation', identity }))
      .mapErr(toAdmissionProblem);
  }

  isInForce(identity: KeyIdentity): boolean {
    return this.#getCurrentAccess().keys.isInForce(identity);
  }

  #admit(request: CallerRequest, secret: string | undefined): Result<AdmittedCall, AdmissionError> {
    const { method, pathAndQuery, rawHeaders } = request;
    const [path = '/'] = pathAndQuery.split('?', 1);
    return this.#getCurrentAccess()
      .routes.match(method, path)
      .andThen((namedRoute) =>
        this.#resolveCaller(namedRoute, secret, request.body).map((caller) => ({
          caller,
          routeName: namedRoute.name,
          route: namedRoute.route,
          ...stripCredentials(rawHeaders, pathAndQuery, secret),
        })),
      );
  }

  #resolveCaller(
    { route }: NamedRoute,
    secret: string | undefined,
    body: Uint8Array,
  ): Result<Caller, AdmissionError> {
    const identity = this.#authenticate(secret);
    // The body is forwarded unchanged, so a key in it would reach the target.
    if (identity.isOk() && secret !== undefined && Buffer.from(body).includes(secret)) {
      return err({ kind: 'key-ambiguous' });
    }
    if (route.access.kind === 'open') return ok({ kind: 'anyone' });
    return identity.andThen((known) =>
      this.#getCurrentAccess().routes.mayCall(route, known.organisation)
        ? ok<Caller>({ kind: 'organisation', identity: known })
        : err<Caller, AdmissionError>({ kind: 'route-forbidden' }),
    );
  }

  #authenticate(secret: string | undefined): Result<KeyIdentity, AdmissionError> {
    if (secret === undefined) return err({ kind: 'key-missing' });
    return this.#getCurrentAccess().keys.authenticate(secret);
  }

  #getCurrentAccess(): DeclaredAccess {
    const configuration = this.#getConfiguration();
    if (this.#access.configuration !== configuration) this.#access = prepareAccess(configuration);
    return this.#access;
  }
}
