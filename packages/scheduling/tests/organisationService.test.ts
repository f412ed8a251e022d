import { OrganisationService } from '../src/organisationService';

const LEAD_TOKENS = 100_000;

/** Serves one call of an organisation that waits for nothing. */
const serve = (service: OrganisationService, organisation: string, tokens: number): void => {
  service.enter(organisation);
  service.serve(organisation);
  service.chargeLocal(organisation, tokens);
};

test('an organisation that asks for little earns no credit', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  for (let call = 0; call < 100; call += 1) serve(service, 'north', 1_000);
  serve(service, 'south', 10);
  service.enter('south');
  service.enter('north');
  expect(service.virtualTime('north') - service.virtualTime('south')).toBeLessThanOrEqual(1_000);
});

test('the use of idle capacity is not held against an organisation', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  serve(service, 'south', 10);
  for (let call = 0; call < 100; call += 1) serve(service, 'north', 1_000);
  service.enter('south');
  service.enter('north');
  expect(service.virtualTime('north') - service.virtualTime('south')).toBeLessThanOrEqual(1_000);
});

test('service elsewhere puts an organisation behind by the cap at the most', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  service.setWeights(new Map([['north', 2]]));
  service.chargeRemote('north', 10 * LEAD_TOKENS);
  service.enter('north');
  expect(service.virtualTime('north')).toBe(LEAD_TOKENS / 2);
});

test('idle organisations are forgotten once the others caught up', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  for (let name = 0; name < 1_000; name += 1) serve(service, `organisation-${name}`, 100);
  serve(service, 'north', 200);
  serve(service, 'north', 200);
  for (let name = 0; name < 1_000; name += 1) {
    service.enter(`organisation-${name}`);
    service.leave(`organisation-${name}`);
  }
  expect(service.size).toBeLessThanOrEqual(1);
});
