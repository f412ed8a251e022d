import type { AdmissionError, KeyIdentity, NamedRoute } from '@limpetnotch/admission';
import { credentialOf, KeyRing, RouteTable, stripCredentials } from '@limpetnotch/admission';
import type { Configuration } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import { admissionProblem } from './admissionProblem';
import type { Admission, AdmittedCall, Caller } from './admittedCall';
import type { CallerRequest } from './callerRequest';

/** What a configuration declares for admission, prepared for look-ups. */
interface DeclaredAccess {
  readonly configuration: Configuration;
  readonly keys: KeyRing;
  readonly routes: RouteTable;
}

const accessOf = (configuration: Configuration): DeclaredAccess => ({
  configuration,
  keys: new KeyRing(configuration),
  routes: new RouteTable(configuration),
});

/** Lets requests in by the declared keys and routes. */
export class DeclaredAdmission implements Admission {
  readonly #configuration: () => Configuration;

  #access: DeclaredAccess;

  /** Takes the source of the configuration in force. */
  constructor(configuration: () => Configuration) {
    this.#configuration = configuration;
    this.#access = accessOf(configuration());
  }

  admit(request: CallerRequest): Result<AdmittedCall, Problem> {
    const secret = credentialOf(request.rawHeaders, request.pathAndQuery);
    if (secret.isErr()) return err(admissionProblem(secret.error));
    return this.#admit(request, secret.value).mapErr(admissionProblem);
  }

  identify(rawHeaders: readonly string[]): Result<Caller, Problem> {
    return credentialOf(rawHeaders, '/')
      .andThen((secret) => this.#authenticate(secret))
      .map((identity): Caller => ({ kind: 'organisation', identity }))
      .mapErr(admissionProblem);
  }

  isInForce(identity: KeyIdentity): boolean {
    return this.#current().keys.isInForce(identity);
  }

  #admit(request: CallerRequest, secret: string | undefined): Result<AdmittedCall, AdmissionError> {
    const { method, pathAndQuery, rawHeaders } = request;
    const [path = '/'] = pathAndQuery.split('?', 1);
    return this.#current()
      .routes.match(method, path)
      .andThen((named) =>
        this.#callerOf(named, secret, request.body).map((caller) => ({
          caller,
          routeName: named.name,
          route: named.route,
          ...stripCredentials(rawHeaders, pathAndQuery, secret),
        })),
      );
  }

  #callerOf(
    { route }: NamedRoute,
    secret: string | undefined,
    body: Uint8Array,
  ): Result<Caller, AdmissionError> {
    const identity = this.#authenticate(secret);
    // A body goes on as it came, so a key in it would reach the target.
    if (identity.isOk() && secret !== undefined && Buffer.from(body).includes(secret)) {
      return err({ kind: 'key-ambiguous' });
    }
    if (route.access.kind === 'open') return ok({ kind: 'anyone' });
    return identity.andThen((known) =>
      this.#current().routes.mayCall(route, known.organisation)
        ? ok<Caller>({ kind: 'organisation', identity: known })
        : err<Caller, AdmissionError>({ kind: 'route-forbidden' }),
    );
  }

  #authenticate(secret: string | undefined): Result<KeyIdentity, AdmissionError> {
    if (secret === undefined) return err({ kind: 'key-missing' });
    return this.#current().keys.authenticate(secret);
  }

  #current(): DeclaredAccess {
    const configuration = this.#configuration();
    if (this.#access.configuration !== configuration) this.#access = accessOf(configuration);
    return this.#access;
  }
}
