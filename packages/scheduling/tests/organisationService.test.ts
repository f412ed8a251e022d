import { OrganisationService } from '../src/organisationService';

const LEAD_TOKENS = 100_000;

/** Serves one call of an organisation without waiting. */
const serve = (service: OrganisationService, organisation: string, tokens: number): void => {
  service.addWaitingCall(organisation);
  service.serveWaitingCall(organisation);
  service.chargeLocal(organisation, tokens);
};

test('an organisation that requests little earns no credit', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  for (let call = 0; call < 100; call += 1) serve(service, 'north', 1_000);
  serve(service, 'south', 10);
  service.addWaitingCall('south');
  service.addWaitingCall('north');
  expect(service.virtualTime('north') - service.virtualTime('south')).toBeLessThanOrEqual(1_000);
});

test('using idle capacity does not penalise an organisation', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  serve(service, 'south', 10);
  for (let call = 0; call < 100; call += 1) serve(service, 'north', 1_000);
  service.addWaitingCall('south');
  service.addWaitingCall('north');
  expect(service.virtualTime('north') - service.virtualTime('south')).toBeLessThanOrEqual(1_000);
});

test('service by other instances sets an organisation back by at most the cap', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  service.setWeights(new Map([['north', 2]]));
  service.chargeRemote('north', 10 * LEAD_TOKENS);
  service.addWaitingCall('north');
  expect(service.virtualTime('north')).toBe(LEAD_TOKENS / 2);
});

test('evicts idle organisations once the others have caught up', () => {
  const service = new OrganisationService(LEAD_TOKENS);
  for (let name = 0; name < 1_000; name += 1) serve(service, `organisation-${name}`, 100);
  serve(service, 'north', 200);
  serve(service, 'north', 200);
  for (let name = 0; name < 1_000; name += 1) {
    service.addWaitingCall(`organisation-${name}`);
    service.removeWaitingCall(`organisation-${name}`);
  }
  expect(service.size).toBeLessThanOrEqual(1);
});
