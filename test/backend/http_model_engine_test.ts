import {expect} from 'chai';
import express from 'express';
import {HttpModelEngine} from '../../src/backend/index.js';
import {serveApp} from '../../src/fakes/index.js';

describe('HttpModelEngine', () => {
  describe('getLoad', () => {
    async function getLoadError(report: unknown): Promise<string> {
      const app = express();
      app.get('/load', (_request, response) => {
        response.json(report);
      });
      const served = await serveApp(app, 0);
      const url = `http://127.0.0.1:${served.port}`;
      const load = await new HttpModelEngine(url, 1000).getLoad();
      await served.stop();
      return load.isErr ? load.error.message : 'accepted';
    }

    const report = {
      running: 1,
      waiting: 0,
      capacity: 8,
      prefillRate: 4000,
      decodeMs: 20,
      models: [],
    };

    it('accepts a load report with all members', async () => {
      expect(await getLoadError(report)).to.equal('accepted');
    });

    it('rejects a load report with a member that is not a number', async () => {
      expect(await getLoadError({...report, decodeMs: null})).to.include(
        'decodeMs',
      );
    });
  });
});
