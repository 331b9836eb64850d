"""Entry point of the mesh node on the users' platform; see `deploy/system.toml`."""

from buckthornstage.platform import main

if __name__ == "__main__":
    main.run()
