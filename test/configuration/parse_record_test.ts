import {expect} from 'chai';
import fc from 'fast-check';
import {
  convertRecord,
  parseRecord,
  RecordDocument,
} from '../../src/configuration/index.js';

const V1 = {
  schemaVersion: 1,
  kind: 'deployment',
  name: 'dossier',
  model: 'provenance-8b@3',
  priority: 'high',
};

describe('records', () => {
  describe('parseRecord', () => {
    function expectError(document: unknown, pattern: RegExp) {
      const parsed = parseRecord(document);
      expect(parsed.isErr).to.equal(true);
      expect(parsed.isErr && parsed.error.join()).to.match(pattern);
    }

    it('converts version 1 to the current version', () => {
      const parsed = parseRecord(V1);
      expect(parsed.unwrapOr(undefined)).to.deep.include({
        schemaVersion: 2,
        urgency: 1,
        target: {
          kind: 'model',
          model: 'provenance-8b',
          version: '3',
          adapters: [],
        },
      });
    });

    it('lists the supported versions in the error for an unsupported one', () => {
      expectError({...V1, schemaVersion: 9}, /9 is not supported; use 1 or 2/);
    });

    it('reports all validation errors at once', () => {
      const record = {
        schemaVersion: 2,
        kind: 'deployment',
        name: 'Not A Name',
        target: {kind: 'model', model: 'm', version: '1'},
        urgency: 12,
        replicas: 0,
      };
      const parsed = parseRecord(record);
      expect(parsed.isErr && parsed.error.length).to.equal(3);
    });

    it('refuses a version 1 deployment with both a model and a service', () => {
      expectError({...V1, service: 'bids'}, /exactly one/);
    });

    it('refuses a server that runs a service but does not name it', () => {
      const server = {
        schemaVersion: 2,
        kind: 'server',
        name: 's',
        runs: 'service',
        dataCentre: 'd',
        address: '127.0.0.1:1',
      };
      expectError(server, /service: is required/);
    });
  });

  describe('convertRecord', () => {
    const deployments = fc.record({
      urgency: fc.integer({min: 0, max: 7}),
      replicas: fc.integer({min: 1, max: 9}),
      latencyTarget: fc.record({
        firstTokenMs: fc.integer({min: 1, max: 900}),
        betweenTokensMs: fc.integer({min: 1, max: 90}),
      }),
      customers: fc.array(fc.constantFrom('a', 'b'), {maxLength: 2}),
      'x-note': fc.string(),
      target: fc.constantFrom(
        {kind: 'model', model: 'm', version: '7', adapters: ['x']},
        {
          kind: 'service',
          service: 'bids',
          repeat: 'never',
          answersLookups: true,
        },
      ),
    });

    it('converts from version 2 to 1 and back without loss, including unknown members', () => {
      fc.assert(
        fc.property(deployments, members => {
          const original = parseRecord({
            schemaVersion: 2,
            kind: 'deployment',
            name: 'd',
            ...members,
          }).unwrapOr(undefined) as RecordDocument;
          const downgraded = convertRecord(original, 1).unwrapOr(original);
          expect(downgraded.schemaVersion).to.equal(1);
          const upgraded = parseRecord(downgraded).unwrapOr(undefined);
          expect(upgraded).to.deep.equal(original);
        }),
        {seed: 11, numRuns: 200},
      );
    });

    it('prefers a change made in version 1 to the members in extensions', () => {
      const original = parseRecord(V1).unwrapOr(undefined) as RecordDocument;
      const downgraded = convertRecord(original, 1).unwrapOr(original);
      const changed = {
        ...downgraded,
        priority: 'low',
        model: 'provenance-8b@4',
      };
      expect(parseRecord(changed).unwrapOr(undefined)).to.deep.include({
        urgency: 6,
      });
    });

    it('restores the fractional weight of a customer after conversion to version 1', () => {
      const customer = {
        schemaVersion: 2,
        kind: 'customer',
        name: 'c',
        keyHashes: ['0'.repeat(64)],
        weight: 2.5,
      } as RecordDocument;
      const downgraded = convertRecord(customer, 1).unwrapOr(customer);
      expect(downgraded['share']).to.equal(3);
      expect(parseRecord(downgraded).unwrapOr(undefined)).to.deep.include({
        weight: 2.5,
      });
    });
  });
});
