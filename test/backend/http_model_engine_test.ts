import {expect} from 'chai';
import express from 'express';
import {GenerationFormat, HttpModelEngine} from '../../src/backend/index.js';
import {serveApp} from '../../src/fakes/index.js';

const SILENCE_MS = 400;

describe('HttpModelEngine', () => {
  describe('generate', () => {
    function toChunk(position: number): string {
      const choices = [{text: `t${position}`}];
      return `data: ${JSON.stringify({request_id: 'r1', position, choices})}\n\n`;
    }

    // Guards against a client that closes a silent stream by a limit of its own: only the
    // runner knows whether another engine can continue.
    it('leaves it to the caller to end a silent stream', async () => {
      const app = express();
      app.post('/v1/completions', (_request, response) => {
        response.write(toChunk(0));
        setTimeout(() => {
          response.end(`${toChunk(1)}data: [DONE]\n\n`);
        }, SILENCE_MS);
      });
      const served = await serveApp(app, 0);
      const url = `http://127.0.0.1:${served.port}`;
      const attempt = {
        requestId: 'r1',
        format: GenerationFormat.TEXT,
        body: {prompt: 'a prompt'},
        continuation: [],
        urgency: 0,
      };
      const texts: string[] = [];
      const tokens = new HttpModelEngine(url).generate(
        attempt,
        new AbortController().signal,
      );
      for await (const {text} of tokens) {
        texts.push(text);
      }
      await served.stop();
      expect(texts).to.eql(['t0', 't1']);
    });
  });

  describe('getLoad', () => {
    async function getLoadError(report: unknown): Promise<string> {
      const app = express();
      app.get('/load', (_request, response) => {
        response.json(report);
      });
      const served = await serveApp(app, 0);
      const url = `http://127.0.0.1:${served.port}`;
      const load = await new HttpModelEngine(url).getLoad();
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
